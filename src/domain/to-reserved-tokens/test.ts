import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toReservedTokens} from './index.js';

describe('toReservedTokens', () => {
	const cases = [
		{name: 'prompt, guess and a quarter of it', work: {promptTokens: 3000, maxTokens: 2000, guessedTokens: 800}, tokens: 4000},
		{name: 'no more than the longest answer', work: {promptTokens: 3000, maxTokens: 900, guessedTokens: 800}, tokens: 3900},
		{name: 'the longest answer where nothing is guessed', work: {promptTokens: 3000, maxTokens: 2000, guessedTokens: undefined}, tokens: 5000},
		{name: 'whole tokens', work: {promptTokens: 10, maxTokens: 100, guessedTokens: 3}, tokens: 14},
	];
	for (const {name, work, tokens} of cases) {
		it(`reserves ${name}`, () => {
			assert.equal(toReservedTokens(work), tokens);
		});
	}
});
