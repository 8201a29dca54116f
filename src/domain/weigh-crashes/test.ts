import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {weighCrashes} from './index.js';

describe('weighCrashes', () => {
	it('counts crashes', () => {
		assert.deepEqual(weighCrashes({crashes: [], survivals: []}, 0.5), {weight: 0, clearedAt: -Infinity});
		assert.deepEqual(weighCrashes({crashes: [3, 1, 2], survivals: []}, 0.5), {weight: 3, clearedAt: -Infinity});
	});

	it('lets a survival take away a part of the crashes before it, and none after it', () => {
		assert.deepEqual(weighCrashes({crashes: [1, 3], survivals: [2]}, 0.5), {weight: 1.5, clearedAt: -Infinity});
		assert.deepEqual(weighCrashes({crashes: [1, 3], survivals: [2, 2]}, 0.5), {weight: 1, clearedAt: 2});
		assert.deepEqual(weighCrashes({crashes: [3, 4], survivals: [1, 2]}, 0.5), {weight: 2, clearedAt: 2});
	});

	it('clears all crashes before a survival of infinite weight', () => {
		assert.deepEqual(weighCrashes({crashes: [1, 2, 4], survivals: [3]}, Infinity), {weight: 1, clearedAt: 3});
	});

	it('takes a survival at the time of a crash as one after it', () => {
		assert.deepEqual(weighCrashes({crashes: [1], survivals: [1]}, 1), {weight: 0, clearedAt: 1});
	});
});
