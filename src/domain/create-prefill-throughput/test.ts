import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPrefillThroughput} from './index.js';

describe('createPrefillThroughput', () => {
	it('estimates each server separately, and a new server by the mean of the others', () => {
		const throughput = createPrefillThroughput();
		const guess = throughput.read('p1');
		throughput.note('p1', 3000, 100);
		assert.equal(throughput.read('p1'), 30);
		assert.equal(throughput.read('p2'), 30);
		throughput.note('p2', 3000, 150);
		assert.equal(throughput.read('p2'), 20);
		assert.equal(throughput.read('p1'), 30);
		throughput.forget('p1');
		assert.ok(throughput.read('p1') < 30 && throughput.read('p1') > 20, `the mean of both, and not ${guess}`);
	});

	it('adapts to a server that becomes slow within a few prompts, but not after a single slow prompt', () => {
		const throughput = createPrefillThroughput();
		throughput.note('p1', 3000, 100);
		throughput.note('p1', 3000, 400);
		assert.ok(throughput.read('p1') > 25);
		for (let i = 0; i < 10; i++) {
			throughput.note('p1', 3000, 400);
		}

		assert.ok(throughput.read('p1') < 11);
	});

	it('is always finite', () => {
		const throughput = createPrefillThroughput();
		throughput.note('p1', 3000, 0);
		assert.ok(Number.isFinite(throughput.read('p1')));
	});
});
