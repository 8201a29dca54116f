import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	addCounts, countFields, emptyCounts, type Counts,
} from './index.js';

const counts = fc.tuple(...countFields.map(() => fc.nat(1_000_000))).map(numbers => Object.fromEntries(countFields.map((field, i) => [field, numbers[i]])) as Counts);

describe('addCounts', () => {
	it('adds each field, and nothing else', () => {
		fc.assert(fc.property(counts, counts, (left, right) => {
			assert.deepEqual(addCounts(left, right), Object.fromEntries(countFields.map(field => [field, left[field] + right[field]])));
		}));
	});

	it('changes nothing by adding the empty counts', () => {
		fc.assert(fc.property(counts, some => {
			assert.deepEqual(addCounts(some, emptyCounts), some);
		}));
	});
});
