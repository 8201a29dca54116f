import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {pickWeighted} from './index.js';

describe('pickWeighted', () => {
	it('shares by weight', () => {
		const entries = [{name: 'a', weight: 90}, {name: 'b', weight: 10}];
		assert.deepEqual([0, 0.89, 0.9, 0.999].map(chance => pickWeighted(entries, () => chance)?.name), ['a', 'a', 'b', 'b']);
	});

	it('has nothing to give without an entry of some weight', () => {
		const none: Array<{weight: number}> = [];
		assert.equal(pickWeighted(none, () => 0.5), undefined);
		assert.equal(pickWeighted([{weight: 0}], () => 0.5), undefined);
	});

	it('never gives an entry of no weight', () => {
		fc.assert(fc.property(fc.array(fc.record({weight: fc.integer({min: 0, max: 5})})), fc.double({
			min: 0, max: 1, maxExcluded: true, noNaN: true,
		}), (entries, chance) => {
			assert.notEqual(pickWeighted(entries, () => chance)?.weight, 0);
		}));
	});
});
