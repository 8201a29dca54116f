import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPrefillThroughput} from './index.js';

describe('createPrefillThroughput', () => {
	it('knows each server by itself, and a new one by the others', () => {
		const pace = createPrefillThroughput();
		const guess = pace.read('p1');
		pace.note('p1', 3000, 100);
		assert.equal(pace.read('p1'), 30);
		assert.equal(pace.read('p2'), 30);
		pace.note('p2', 3000, 150);
		assert.equal(pace.read('p2'), 20);
		assert.equal(pace.read('p1'), 30);
		pace.forget('p1');
		assert.ok(pace.read('p1') < 30 && pace.read('p1') > 20, `the mean of both, and not ${guess}`);
	});

	it('follows a server that turns slow within a few prompts, and not at one odd one', () => {
		const pace = createPrefillThroughput();
		pace.note('p1', 3000, 100);
		pace.note('p1', 3000, 400);
		assert.ok(pace.read('p1') > 25);
		for (let i = 0; i < 10; i++) {
			pace.note('p1', 3000, 400);
		}

		assert.ok(pace.read('p1') < 11);
	});

	it('is never endless', () => {
		const pace = createPrefillThroughput();
		pace.note('p1', 3000, 0);
		assert.ok(Number.isFinite(pace.read('p1')));
	});
});
