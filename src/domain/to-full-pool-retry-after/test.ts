import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toMinFullPoolRetryAfter, toFullPoolRetryAfter} from './index.js';

/*
 * Guards against retries during a burst. A burst of four seconds fills the decode
 * memory; callers that retry while it lasts are refused again or take room from
 * requests that could be in time, and callers that retry together form a new burst.
 */
describe('toFullPoolRetryAfter', () => {
	it('is between 1.2 and 1.7 mean holding times (property)', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 60_000}), fc.double({
			min: 0, max: 1, maxExcluded: true, noNaN: true,
		}), (holdMs, chance) => {
			const delayMs = toFullPoolRetryAfter(holdMs, () => chance);
			assert.ok(delayMs >= holdMs * 1.2 && delayMs <= holdMs * 1.7);
			assert.ok(delayMs >= toMinFullPoolRetryAfter(holdMs));
		}));
	});

	it('assumes a holding time of three seconds while none is known', () => {
		assert.equal(Math.round(toFullPoolRetryAfter(undefined, () => 0)), 3600);
	});
});
