import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {encode} from 'cbor-x';
import fc from 'fast-check';
import {type OriginMessage} from '../../ports/stream-origins.js';
import {toFormat} from '../_lib/datagram-rows/index.js';
import {decodeOriginMessage, encodeOriginMessage, originFormat} from './index.js';

const key = '9c41d07be2a3_-Zz';
const origin = {pool: 'letters', softwareVersion: 'v1.2'};
const messages: readonly OriginMessage[] = [
	{kind: 'records', records: [{key, origin, lifeMs: 28_000}, {key, origin: {pool: 'letters', softwareVersion: undefined}, lifeMs: 1000}]},
	{kind: 'ask', id: 4, key},
	{kind: 'answer', id: 4, known: origin},
	{kind: 'answer', id: 4, known: 'ambiguous'},
	{kind: 'answer', id: 4, known: undefined},
];

describe('messages about origins of streams', () => {
	for (const message of messages) {
		it(`are the same after encoding and decoding: ${JSON.stringify(message)}`, () => {
			const bytes = encodeOriginMessage(message);
			assert.equal(toFormat(bytes), originFormat);
			assert.deepEqual(decodeOriginMessage(bytes)._unsafeUnwrap(), message);
		});
	}

	it('give a record no longer life than the bound', () => {
		const decoded = decodeOriginMessage(encodeOriginMessage({kind: 'records', records: [{key, origin, lifeMs: Number.MAX_SAFE_INTEGER}]}))._unsafeUnwrap();
		assert.deepEqual(decoded, {kind: 'records', records: [{key, origin, lifeMs: 600_000}]});
		assert.ok(decodeOriginMessage(encode([originFormat, 'r', [[key, ['letters', 'v1'], 601]]])).isErr());
	});

	it('decode to an error, and never throw, when the bytes are anything else', () => {
		const rows = fc.tuple(fc.constantFrom('r', 'q', 'a', 'x'), fc.array(fc.jsonValue())).map(([kind, rest]) => encode([originFormat, kind, ...rest]));
		fc.assert(fc.property(fc.oneof(fc.uint8Array(), rows), bytes => {
			assert.equal(typeof decodeOriginMessage(bytes).isOk(), 'boolean');
		}));
	});
});
