import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toReadPace} from './index.js';

describe('toReadPace', () => {
	for (const [actWithinMs, pauseMs, waitMs] of [
		[0, 600, 1200], [2000, 600, 1200], [3000, 1100, 700], [4000, 1500, 300], [60_000, 1500, 300],
	] as const) {
		it(`pauses ${pauseMs} ms where a host must act within ${actWithinMs} ms`, () => {
			assert.deepEqual(toReadPace(actWithinMs), {pauseMs, waitMs});
		});
	}

	it('detects a silent connection after the same time at any pace (property)', () => {
		fc.assert(fc.property(fc.integer({min: 0, max: 100_000}), actWithinMs => {
			const {pauseMs, waitMs} = toReadPace(actWithinMs);
			assert.equal(pauseMs + waitMs, 1800);
			assert.ok(pauseMs >= 600 && waitMs >= 300);
		}));
	});
});
