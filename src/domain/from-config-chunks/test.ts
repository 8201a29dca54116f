import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toConfigChunks} from '../to-config-chunks/index.js';
import {fromConfigChunks} from './index.js';

const anyPart = fc.oneof(fc.string({unit: 'binary', maxLength: 40}), fc.constant('\n'), fc.string({minLength: 100, maxLength: 300}));
const anyText = fc.array(anyPart, {maxLength: 60}).map(parts => parts.join(''));

describe('fromConfigChunks', () => {
	it('restores any text byte for byte', () => {
		fc.assert(fc.property(anyText, fc.integer({min: 1, max: 200}), (text, averageLength) => {
			const {manifest, chunks} = toConfigChunks(text, {averageLength});
			assert.equal(fromConfigChunks(manifest, digest => chunks.get(digest))._unsafeUnwrap(), text);
			assert.ok([...chunks.values()].every(chunk => Buffer.from(chunk).toString() === chunk));
		}));
	});

	it('names the chunks that are missing, each once', () => {
		const {manifest, chunks} = toConfigChunks('a\nb\nb\nc\n'.repeat(100), {averageLength: 1});
		const [missing] = chunks.keys();
		assert.deepEqual(fromConfigChunks(manifest, digest => digest === missing ? undefined : chunks.get(digest))._unsafeUnwrapErr(), {kind: 'missing', digests: [missing]});
	});

	it('refuses chunks that join to another text', () => {
		const {manifest, chunks} = toConfigChunks('a: 1\nb: 2\n');
		assert.equal(fromConfigChunks(manifest, digest => `${chunks.get(digest)}x`)._unsafeUnwrapErr().kind, 'altered');
	});

	it('refuses a manifest whose last digest is truncated', () => {
		assert.equal(fromConfigChunks({digest: '', chunkDigests: new Uint8Array(9)}, () => '')._unsafeUnwrapErr().kind, 'invalid-manifest');
	});
});
