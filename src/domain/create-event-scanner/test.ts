import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createEventScanner} from './index.js';

function scan(text: string) {
	const scanner = createEventScanner();
	scanner.add(Buffer.from(text));
	return {isBetweenEvents: scanner.isBetweenEvents(), count: scanner.count()};
}

describe('createEventScanner', () => {
	const cases: ReadonlyArray<{name: string; text: string; isBetweenEvents: boolean; count: number}> = [
		{
			name: 'an empty stream', text: '', isBetweenEvents: true, count: 0,
		},
		{
			name: 'a whole event', text: 'id: 1\ndata: x\n\n', isBetweenEvents: true, count: 1,
		},
		{
			name: 'an event without its blank line', text: 'id: 1\ndata: x\n', isBetweenEvents: false, count: 0,
		},
		{
			name: 'an event that stops in a line', text: 'id: 1\n\nid: 2\ndata', isBetweenEvents: false, count: 1,
		},
		{
			name: 'a comment after the last event', text: 'id: 1\n\n: ping\n', isBetweenEvents: true, count: 1,
		},
		{
			name: 'a comment that stops in its line', text: 'id: 1\n\n: pi', isBetweenEvents: false, count: 1,
		},
		{
			name: 'several blank lines', text: 'id: 1\n\n\n\n', isBetweenEvents: true, count: 1,
		},
		{
			name: 'CRLF line ends', text: 'id: 1\r\n\r\nid: 2\r\n', isBetweenEvents: false, count: 1,
		},
		{
			name: 'a blank line before the first event', text: '\nid: 1\n\n', isBetweenEvents: true, count: 1,
		},
		{
			name: 'CR line ends', text: 'id: 1\r\rid: 2\r\r', isBetweenEvents: true, count: 2,
		},
	];
	for (const {name, text, ...expected} of cases) {
		it(`follows ${name}`, () => {
			assert.deepEqual(scan(text), expected);
		});
	}

	it('gives the same result for each way to split a stream', () => {
		const line = fc.constantFrom('id: 1', 'data: é', ': ping', '');
		const end = fc.constantFrom('\n', '\r\n', '\r', '');
		fc.assert(fc.property(fc.array(fc.tuple(line, end), {maxLength: 12}), fc.array(fc.nat(80), {maxLength: 6}), (lines, cuts) => {
			const text = lines.flat().join('');
			const bytes = Buffer.from(text);
			const split = createEventScanner();
			const places = [0, ...cuts.map(cut => Math.min(cut, bytes.length)).sort((a, b) => a - b), bytes.length];
			for (const [i, from] of places.slice(0, -1).entries()) {
				split.add(bytes.subarray(from, places[i + 1]));
			}

			assert.deepEqual({isBetweenEvents: split.isBetweenEvents(), count: split.count()}, scan(text));
		}));
	});
});
