import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toPartKey} from './index.js';

describe('toPartKey', () => {
	it('is equal exactly when name and digest are equal', () => {
		const keys = [{name: 'a', sha256: '0'.repeat(64)}, {name: 'b', sha256: '0'.repeat(64)}, {name: 'a', sha256: '1'.repeat(64)}, {name: 'a', sha256: '0'.repeat(64)}].map(part => toPartKey(part));
		assert.equal(keys[0], 'config.a.0000000000000000');
		assert.deepEqual([new Set(keys).size, keys[3]], [3, keys[0]]);
	});
});
