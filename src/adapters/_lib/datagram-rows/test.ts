import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as v from 'valibot';
import {decodeRow, encodeRow, toFormat} from './index.js';

const schema = v.tuple([v.literal(7), v.string()]);

describe('datagram rows', () => {
	it('are the same after encoding and decoding, and show their format', () => {
		const bytes = encodeRow([7, 'a']);
		assert.equal(toFormat(bytes), 7);
		assert.deepEqual(decodeRow(bytes, schema)._unsafeUnwrap(), [7, 'a']);
	});

	it('are refused with a reason when they are not CBOR or not of the schema', () => {
		assert.equal(decodeRow(new Uint8Array([0xFF, 0xFF]), schema)._unsafeUnwrapErr(), 'not CBOR');
		assert.match(decodeRow(encodeRow([7, 8]), schema)._unsafeUnwrapErr(), /string/v);
		assert.equal(toFormat(new Uint8Array()), undefined);
	});
});
