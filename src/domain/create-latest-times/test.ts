import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLatestTimes} from './index.js';

describe('createLatestTimes', () => {
	it('keeps the latest time of each key', () => {
		const times = createLatestTimes(2);
		times.note('a', 20);
		times.note('a', 10);
		assert.equal(times.get('a'), 20);
		assert.equal(times.get('b'), -Infinity);
	});

	it('forgets the key that was noted longest ago', () => {
		const times = createLatestTimes(2);
		times.note('a', 10);
		times.note('b', 20);
		times.note('a', 30);
		times.note('c', 40);
		assert.deepEqual(['a', 'b', 'c'].map(key => times.get(key)), [30, -Infinity, 40]);
		assert.deepEqual(times.entries(), [['a', 30], ['c', 40]]);
	});
});
