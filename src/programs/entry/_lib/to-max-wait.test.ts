import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toMaxWaitMs} from './to-max-wait.js';

describe('toMaxWaitMs', () => {
	it('is a third of the caller\'s time', () => {
		assert.equal(toMaxWaitMs(1500), 500);
	});

	it('is a second at most', () => {
		assert.equal(toMaxWaitMs(14_000), 1000);
		assert.equal(toMaxWaitMs(undefined), 1000);
	});
});
