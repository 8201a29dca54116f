import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createRunDurations} from './index.js';

describe('createRunDurations', () => {
	it('knows nothing of a rule with few runs', () => {
		const durations = createRunDurations();
		for (const ms of [1, 2, 3, 4]) {
			durations.note('a', ms);
		}

		assert.equal(durations.toExpectedMs('a', 1), undefined);
		assert.equal(durations.toExpectedMs('b', 1), undefined);
	});

	it('returns a duration that the given share of the latest runs kept (property)', () => {
		fc.assert(fc.property(fc.array(fc.nat(10_000), {minLength: 5, maxLength: 200}), fc.double({min: 0, max: 1, noNaN: true}), (runs, share) => {
			const durations = createRunDurations();
			for (const ms of runs) {
				durations.note('a', ms);
			}

			const latest = runs.slice(-64);
			const expected = durations.toExpectedMs('a', share)!;
			assert.ok(latest.includes(expected));
			assert.ok(latest.filter(ms => ms <= expected).length >= share * latest.length);
		}));
	});

	it('forgets the rules of long ago', () => {
		const durations = createRunDurations();
		for (let i = 0; i < 9000; i++) {
			for (let run = 0; run < 5; run++) {
				durations.note(`r${i}`, 1);
			}
		}

		assert.equal(durations.toExpectedMs('r0', 1), undefined);
		assert.equal(durations.toExpectedMs('r8999', 1), 1);
	});
});
