import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toBackoff} from './index.js';

describe('toBackoff', () => {
	it('stays between 0 and the bound, even for huge attempt numbers (property)', () => {
		fc.assert(fc.property(fc.integer({min: 0, max: 5000}), fc.double({min: 0, max: 0.999, noNaN: true}), (attempt, chance) => {
			const delayMs = toBackoff(attempt, () => chance, {baseMs: 10, maxMs: 100});
			assert.ok(delayMs >= 0 && delayMs <= 100);
		}));
	});

	it('doubles the bound with each attempt', () => {
		assert.deepEqual([1, 2, 3, 4, 5].map(attempt => toBackoff(attempt, () => 0.5, {baseMs: 10, maxMs: 100})), [5, 10, 20, 40, 50]);
	});
});
