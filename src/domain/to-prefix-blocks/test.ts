import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {charactersPerBlock, toPrefixBlocks} from './index.js';

describe('toPrefixBlocks', () => {
	it('names each block by the digest of the prompt up to its end, even if a border splits a surrogate pair (property)', () => {
		const text = fc.array(fc.constantFrom('a', 'č', '😀'), {minLength: 0, maxLength: 200}).map(parts => parts.join(''));
		fc.assert(fc.property(text, prompt => {
			const expected = Array.from({length: Math.floor(prompt.length / charactersPerBlock)}, (_, i) =>
				createHash('sha256').update(prompt.slice(0, (i + 1) * charactersPerBlock)).digest('hex').slice(0, 16));
			assert.deepEqual(toPrefixBlocks(prompt), expected);
		}));
	});

	it('computes at most maxBlocks names', () => {
		assert.equal(toPrefixBlocks('x'.repeat(10_000), {maxBlocks: 3}).length, 3);
	});
});
