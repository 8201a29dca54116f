import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toRequestCost} from './index.js';

const limit = {perSecond: 1, burst: 1, unstatedTokens: 200};

describe('toRequestCost', () => {
	it('counts the tokens of the prompt and of the answer', () => {
		assert.equal(toRequestCost({...limit, unit: 'tokens'}, {promptTokens: 1460, maxTokens: 80}), 1540);
	});

	it('counts a stated number for a request that states no tokens', () => {
		assert.equal(toRequestCost({...limit, unit: 'tokens'}, {promptTokens: 0, maxTokens: 0}), 200);
	});

	it('counts a request as one where requests are limited', () => {
		assert.equal(toRequestCost({...limit, unit: 'requests'}, {promptTokens: 1460, maxTokens: 80}), 1);
	});
});
