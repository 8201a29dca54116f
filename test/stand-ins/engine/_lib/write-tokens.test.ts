import assert from 'node:assert/strict';
import {type ServerResponse} from 'node:http';
import {describe, it} from 'node:test';
import {type Stream} from './create-streams.js';
import {type StreamFaultKind} from './types.js';
import {writeTokens, type Reader} from './write-tokens.js';

const atToken = 7;

/** Writes the tokens of a stream each time one of the given counts is ready, and returns the lines that the reader received. */
function writeAt(kind: StreamFaultKind, counts: readonly number[]): string[] {
	const lines: string[] = [];
	const res = {
		write: (line: string) => lines.push(line),
		end: () => undefined,
		writableEnded: false,
		destroyed: false,
		writableNeedDrain: false,
	} as unknown as ServerResponse;
	const reader: Reader = {
		res, sent: 0, start: 0, isStalled: false,
	};
	const stream: Stream = {
		key: {requestId: 'letter-1', attempt: 1, owner: {host: 'dvorana-a-1', incarnation: 1}},
		since: 0,
		answer: offset => `t${offset} `,
		firstOffset: 0,
		maxTokens: 30,
		progress: 0,
		bytes: 0,
		readers: new Set([reader]),
		timer: undefined,
	};
	const faults = {stream: {kind, atToken, times: 1}};
	for (const count of counts) {
		stream.progress = count;
		writeTokens({
			stream, reader, others: new Map(), faults,
		});
	}

	return lines;
}

type Line = {offset: number; attempt: number; tokens: string[]};

describe('writeTokens', () => {
	/* Guards against a fault that is counted as applied although nothing wrong was sent. It comes about when, on a busy machine, exactly the tokens before the fault's offset are ready. */
	for (const counts of [[3, 7, 10], [7, 8], [7, 30], [9], [3, 6, 9], [30]]) {
		it(`sends a token twice, with ${counts.join(', ')} ready`, () => {
			const offsets = writeAt('duplicated', counts).map(line => JSON.parse(line) as Line).filter(({tokens}) => tokens.length > 0).map(({offset}) => offset);
			assert.deepEqual(offsets.filter(offset => offset >= atToken), [atToken, atToken]);
		});

		it(`sends a token of another attempt, with ${counts.join(', ')} ready`, () => {
			const wrong = writeAt('wrong-attempt', counts).map(line => JSON.parse(line) as Line).filter(({attempt}) => attempt === 2);
			assert.equal(wrong.length, 1);
			assert.ok(wrong[0]!.tokens.length > 0);
		});
	}
});
