import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {countPromptTokens} from './index.js';

describe('countPromptTokens', () => {
	const cases: ReadonlyArray<[string, number]> = [['', 1], ['abcd', 1], ['abcde', 2], ['x'.repeat(4000), 1000]];
	for (const [prompt, tokens] of cases) {
		it(`estimates ${tokens} for ${prompt.length} characters`, () => {
			assert.equal(countPromptTokens(prompt), tokens);
		});
	}
});
