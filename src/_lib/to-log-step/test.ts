import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {fromLogStep, toLogStep} from './index.js';

describe('toLogStep', () => {
	it('keeps 0 and 1, and values that it has rounded before', () => {
		assert.deepEqual([0, 0.5, 1].map(value => fromLogStep(toLogStep(value))), [0, 0, 1]);
		for (let step = 0; step < 256; step++) {
			const value = fromLogStep(step);
			assert.equal(fromLogStep(toLogStep(value)), value);
		}
	});

	it('errs by at most 6 % plus one, and when it rounds down by at most one upwards', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 2 ** 40}), value => {
			assert.ok(Math.abs(fromLogStep(toLogStep(value)) - value) <= (0.06 * value) + 1);
			assert.ok(fromLogStep(toLogStep(value, Math.floor)) <= value + 1);
		}));
	});
});
