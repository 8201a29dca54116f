import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toReservedTokens} from './index.js';

describe('toReservedTokens', () => {
	const cases = [
		{name: 'the prompt, the estimate and a quarter of it', work: {promptTokens: 3000, maxTokens: 2000, estimatedTokens: 800}, tokens: 4000},
		{name: 'no more than the maximum answer', work: {promptTokens: 3000, maxTokens: 900, estimatedTokens: 800}, tokens: 3900},
		{name: 'the maximum answer without an estimate', work: {promptTokens: 3000, maxTokens: 2000, estimatedTokens: undefined}, tokens: 5000},
		{name: 'whole tokens', work: {promptTokens: 10, maxTokens: 100, estimatedTokens: 3}, tokens: 14},
	];
	for (const {name, work, tokens} of cases) {
		it(`reserves ${name}`, () => {
			assert.equal(toReservedTokens(work), tokens);
		});
	}
});
