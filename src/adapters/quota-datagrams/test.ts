import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {encode} from 'cbor-x';
import fc from 'fast-check';
import {type QuotaMessage} from '../../ports/quotas.js';
import {toFormat} from '../_lib/datagram-rows/index.js';
import {decodeQuotaMessage, encodeQuotaMessage, quotaFormat} from './index.js';

const spend = {
	workspace: 'naslovnik', cost: 5340, edition: 7, rate: {perSecond: 278_335, burst: 278_335},
};

const messages: readonly QuotaMessage[] = [
	{
		kind: 'ask', id: 4, origin: '10.0.0.2:7380', spend, isFinal: true, successor: '10.0.0.3:7380', skipped: 1,
	},
	{
		kind: 'verdict', id: 4, isGranted: false, waitMs: 120,
	},
	{kind: 'spent', spend: {...spend, cost: -5340}},
];

describe('quota messages', () => {
	for (const message of messages) {
		it(`of kind ${message.kind} are the same after encoding and decoding`, () => {
			const bytes = encodeQuotaMessage(message);
			assert.equal(toFormat(bytes), quotaFormat);
			assert.deepEqual(decodeQuotaMessage(bytes)._unsafeUnwrap(), message);
		});
	}

	it('decode to an error, and never throw, when the bytes are anything else', () => {
		const rows = fc.tuple(fc.constantFrom('ask', 'verdict', 'spent', 'x'), fc.array(fc.jsonValue())).map(([kind, rest]) => encode([16, kind, ...rest]));
		fc.assert(fc.property(fc.oneof(fc.uint8Array(), rows), bytes => {
			assert.equal(typeof decodeQuotaMessage(bytes).isOk(), 'boolean');
		}));
	});
});
