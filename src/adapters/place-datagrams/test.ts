import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {encode} from 'cbor-x';
import fc from 'fast-check';
import {type PlaceMessage} from '../../ports/places.js';
import {toFormat} from '../_lib/datagram-rows/index.js';
import {decodePlaceMessage, encodePlaceMessage, placeFormat} from './index.js';

const messages: readonly PlaceMessage[] = [
	{
		kind: 'ask', id: 4, server: 'i-1@1780000000000', slots: 6, isForced: true,
	},
	{
		kind: 'answer', id: 4, isTaken: false, count: 6,
	},
	{kind: 'leave', id: 4, server: 'i-1@1780000000000'},
];

describe('place messages', () => {
	for (const message of messages) {
		it(`of kind ${message.kind} are the same after encoding and decoding`, () => {
			const bytes = encodePlaceMessage(message);
			assert.equal(toFormat(bytes), placeFormat);
			assert.deepEqual(decodePlaceMessage(bytes)._unsafeUnwrap(), message);
		});
	}

	it('decode to an error, and never throw, when the bytes are anything else', () => {
		const rows = fc.tuple(fc.constantFrom('ask', 'answer', 'leave', 'x'), fc.array(fc.jsonValue())).map(([kind, rest]) => encode([17, kind, ...rest]));
		fc.assert(fc.property(fc.oneof(fc.uint8Array(), rows), bytes => {
			assert.equal(typeof decodePlaceMessage(bytes).isOk(), 'boolean');
		}));
	});
});
