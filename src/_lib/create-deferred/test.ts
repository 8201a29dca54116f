import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createDeferred} from './index.js';

describe('createDeferred', () => {
	it('resolves its promise with the first value', async () => {
		const {promise, resolve, reject} = createDeferred<number>();
		resolve(1);
		resolve(2);
		reject(new Error('late'));
		assert.equal(await promise, 1);
	});

	it('rejects its promise with the reason', async () => {
		const {promise, reject} = createDeferred();
		reject(new Error('gone'));
		await assert.rejects(promise, /gone/v);
	});
});
