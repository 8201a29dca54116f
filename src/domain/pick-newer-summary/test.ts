import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {pickNewerSummary, type StampedSummary} from './index.js';

const few = fc.integer({min: 0, max: 3});
const summaries: fc.Arbitrary<StampedSummary> = fc.record({
	zone: fc.constant(1), stamp: few, at: few, rows: fc.array(fc.record({
		key: few, servers: few, free: few, waitMs: few,
	}, {noNullPrototype: true}), {maxLength: 2}),
}, {noNullPrototype: true});

describe('pickNewerSummary', () => {
	it('is commutative, associative and idempotent', () => {
		fc.assert(fc.property(summaries, summaries, summaries, (a, b, c) => {
			assert.deepEqual(pickNewerSummary(a, a), a);
			assert.deepEqual(pickNewerSummary(a, b), pickNewerSummary(b, a));
			assert.deepEqual(pickNewerSummary(pickNewerSummary(a, b), c), pickNewerSummary(a, pickNewerSummary(b, c)));
		}), {numRuns: 2000});
	});

	it('never lets a lower stamp replace a higher one', () => {
		fc.assert(fc.property(summaries, summaries, (a, b) => {
			assert.equal(pickNewerSummary(a, b).stamp, Math.max(a.stamp, b.stamp));
		}));
	});

	it('keeps the older of two copies', () => {
		const copy: StampedSummary = {
			zone: 1, stamp: 5, at: 100, rows: [],
		};
		assert.equal(pickNewerSummary(copy, {...copy, at: 90}).at, 90);
	});
});
