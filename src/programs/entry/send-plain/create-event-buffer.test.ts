import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createEventBuffer} from './_lib/create-event-buffer.js';

describe('createEventBuffer', () => {
	it('returns the bytes up to the last whole event, however they are split', () => {
		const piece = fc.constantFrom('a', 'id: 1', '\n', '\n\n', '\r\n', '\r\n\r\n', '\r');
		fc.assert(fc.property(fc.array(piece, {maxLength: 30}), fc.array(fc.integer({min: 1, max: 5}), {minLength: 1, maxLength: 10}), (pieces, sizes) => {
			const text = pieces.join('');
			const buffer = createEventBuffer();
			let whole = '';
			for (let at = 0, i = 0; at < text.length; i++) {
				const size = sizes[i % sizes.length]!;
				whole += buffer.add(Buffer.from(text.slice(at, at + size)))?.toString() ?? '';
				at += size;
			}

			const rest = buffer.rest().toString();
			assert.equal(whole + rest, text);
			assert.match(whole, /(?:^|\n\n|\r\n\r\n)$/v);
			assert.doesNotMatch(rest, /\n\n|\r\n\r\n/v);
			assert.equal(buffer.size(), rest.length);
		}));
	});
});
