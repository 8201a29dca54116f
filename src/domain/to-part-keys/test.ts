import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toPartKeys} from './index.js';

const scope = {pool: 'chat', model: 'm'};

describe('toPartKeys', () => {
	it('keeps short ids readable, and bounds long ones', () => {
		assert.deepEqual(toPartKeys(['5c1e07a2'], scope), ['5c1e07a2@LMB3un']);
		const [long] = toPartKeys(['a'.repeat(64)], scope);
		assert.match(long!, /^[\w\-]{12}@[\w\-]{6}$/v);
	});

	it('tells apart parts, pools and models', () => {
		const keys = [
			...toPartKeys(['a', 'b', 'a'.repeat(64), 'b'.repeat(64)], scope),
			...toPartKeys(['a'], {pool: 'other', model: 'm'}),
			...toPartKeys(['a'], {pool: 'chat', model: 'n'}),
			...toPartKeys(['a'], {pool: 'chat', model: undefined}),
		];
		assert.equal(new Set(keys).size, 7);
	});

	it('has no keys for a prompt without parts', () => {
		assert.deepEqual(toPartKeys([], scope), []);
	});
});
