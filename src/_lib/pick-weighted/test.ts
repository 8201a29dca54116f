import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {pickWeighted} from './index.js';

describe('pickWeighted', () => {
	it('picks entries in proportion to their weights', () => {
		const entries = [{name: 'a', weight: 90}, {name: 'b', weight: 10}];
		assert.deepEqual([0, 0.89, 0.9, 0.999].map(chance => pickWeighted(entries, () => chance)?.name), ['a', 'a', 'b', 'b']);
	});

	it('returns nothing when no entry has a weight above 0', () => {
		const none: Array<{weight: number}> = [];
		assert.equal(pickWeighted(none, () => 0.5), undefined);
		assert.equal(pickWeighted([{weight: 0}], () => 0.5), undefined);
	});

	it('never picks an entry of weight 0', () => {
		fc.assert(fc.property(fc.array(fc.record({weight: fc.integer({min: 0, max: 5})})), fc.double({
			min: 0, max: 1, maxExcluded: true, noNaN: true,
		}), (entries, chance) => {
			assert.notEqual(pickWeighted(entries, () => chance)?.weight, 0);
		}));
	});
});
