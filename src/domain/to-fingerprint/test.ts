import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {toFingerprint, type FingerprintInput} from './index.js';

const input: FingerprintInput = {
	workspace: 'glossworks', method: 'POST', host: 'desk.example', target: '/scenes/1?page=2', body: Buffer.from('a scene'),
};

describe('toFingerprint', () => {
	it('is the same for the same request, in whatever case the host name is written', () => {
		assert.equal(toFingerprint({...input, host: 'Desk.Example', body: new Uint8Array(Buffer.from('a scene'))}), toFingerprint(input));
	});

	it('has 12 characters, which fit into a log line and a datagram', () => {
		assert.match(toFingerprint(input), /^[\w\-]{12}$/v);
	});

	const others: ReadonlyArray<Partial<FingerprintInput>> = [
		{workspace: 'naslovnik'},
		{method: 'PUT'},
		{host: 'other.example'},
		{host: undefined},
		{target: '/scenes/1'},
		{body: Buffer.from('another scene')},
		// The boundary between two fields is part of the hash.
		{method: 'POS', host: 'Tdesk.example'},
	];
	for (const other of others) {
		it(`differs with ${JSON.stringify(Object.keys(other))}`, () => {
			assert.notEqual(toFingerprint({...input, ...other}), toFingerprint(input));
		});
	}
});
