import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toMinFullPoolRetryAfter, toFullPoolRetryAfter} from './index.js';

/*
 * A burst of four seconds fills the decode memory. Callers who come back while it
 * goes on are refused a second time and take room from those who could be in
 * time; callers who come back together make a burst of their own.
 */
describe('toReturnDelay', () => {
	it('lies between 1.2 and 1.7 mean holding times', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 60_000}), fc.double({
			min: 0, max: 1, maxExcluded: true, noNaN: true,
		}), (holdMs, chance) => {
			const delayMs = toFullPoolRetryAfter(holdMs, () => chance);
			assert.ok(delayMs >= holdMs * 1.2 && delayMs <= holdMs * 1.7);
			assert.ok(delayMs >= toMinFullPoolRetryAfter(holdMs));
		}));
	});

	it('takes three seconds for the holding time while none is known', () => {
		assert.equal(Math.round(toFullPoolRetryAfter(undefined, () => 0)), 3600);
	});
});
