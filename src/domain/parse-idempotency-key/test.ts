import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {v7} from 'uuid';
import {parseIdempotencyKey} from './index.js';

describe('parseIdempotencyKey', () => {
	it('reads the time of any version 7 UUID, in either case and with or without quotes', () => {
		fc.assert(fc.property(fc.integer({min: 0, max: (2 ** 48) - 1}), fc.boolean(), fc.boolean(), (msecs, isUpper, isQuoted) => {
			const minted = v7({msecs});
			const spelled = isUpper ? minted.toUpperCase() : minted;
			const parsed = parseIdempotencyKey(isQuoted ? `"${spelled}"` : ` ${spelled} `);
			assert.deepEqual(parsed._unsafeUnwrap(), {key: minted, mintedAt: msecs});
		}));
	});

	const faults = [
		{text: undefined, kind: 'missing'},
		{text: '  ', kind: 'missing'},
		{text: 'order-17', kind: 'malformed'},
		{text: '01890a5d-ac96-774b-bcce-b302099a805', kind: 'malformed'},
		{text: '8c5f5c1e-0b0f-4f0e-9f5e-0d6f2a0c9b11', kind: 'wrong-version'},
	];
	for (const {text, kind} of faults) {
		it(`refuses ${String(text)} as ${kind}`, () => {
			assert.equal(parseIdempotencyKey(text)._unsafeUnwrapErr().kind, kind);
		});
	}
});
