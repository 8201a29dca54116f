import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createRecentIds} from './index.js';

describe('createRecentIds', () => {
	it('has the newest ids up to its limit, and no other', () => {
		fc.assert(fc.property(fc.uniqueArray(fc.string()), fc.integer({min: 1, max: 10}), (added, limit) => {
			const ids = createRecentIds({limit});
			for (const id of added) {
				ids.add(id);
			}

			assert.deepEqual(added.filter(id => ids.has(id)), added.slice(-limit));
		}));
	});

	it('keeps the place of an id that is added again', () => {
		const ids = createRecentIds({limit: 2});
		for (const id of ['a', 'b', 'a', 'c']) {
			ids.add(id);
		}

		assert.deepEqual(['a', 'b', 'c'].filter(id => ids.has(id)), ['b', 'c']);
	});
});
