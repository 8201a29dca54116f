/** Tests of the line reader of a stream with arbitrary bytes, split anywhere. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createChunkReader, type DropCause} from '../../src/adapters/engine-http/_lib/create-chunk-reader.js';

const maxLineBytes = 256;

const createReader = (dropped: DropCause[] = []) => createChunkReader({
	requestId: 'r "1"', attempt: 2, offset: 0, maxLineBytes, onDropped: cause => dropped.push(cause),
});

/** Feeds bytes in pieces of the given lengths, which are used in turn. */
const feed = (reader: ReturnType<typeof createReader>, bytes: Buffer, lengths: readonly number[]) => {
	const tokens: string[] = [];
	let fault: string | undefined;
	for (let at = 0, piece = 0; at < bytes.length; piece++) {
		const end = at + (lengths[piece % lengths.length] ?? 1);
		const read = reader.add(bytes.subarray(at, end));
		tokens.push(...read.tokens);
		fault = read.fault;
		at = end;
	}

	return {tokens, fault};
};

const lengths = fc.array(fc.integer({min: 1, max: 40}), {minLength: 1, maxLength: 8});
const token = fc.oneof(fc.string({unit: 'grapheme', maxLength: 6}), fc.constantFrom('"', '\\', '\n', '","', ']}', 'š', ' w1'));

type Line = {requestId: string; attempt: number; offset: number; tokens: string[]; finish?: string};

/** Splits an answer into lines as an engine does. */
const toLines = (answer: readonly string[], sizes: readonly number[]): Line[] => {
	const lines: Line[] = [];
	for (let at = 0, index = 0; at < answer.length; index++) {
		const size = sizes[index % sizes.length] ?? 1;
		lines.push({
			requestId: 'r "1"', attempt: 2, offset: at, tokens: answer.slice(at, at + size), ...(at + size >= answer.length && {finish: 'stop'}),
		});
		at += size;
	}

	return lines;
};

const encode = (lines: readonly Line[]): Buffer => Buffer.from(lines.map(line => JSON.stringify(line) + '\n').join(''));

const answers = fc.array(token, {minLength: 1, maxLength: 40});
const sizes = fc.array(fc.integer({min: 1, max: 3}), {minLength: 1, maxLength: 5});

describe('createChunkReader', () => {
	it('accepts any bytes in any split without throwing, and keeps a bounded rest', () => {
		const almost = fc.constant(Buffer.from(String.raw`{"requestId":"r \"1\"","attempt":2,"offset":0,"tokens":["a"`));
		const parts = fc.array(fc.oneof(fc.uint8Array({maxLength: 600}), almost, fc.constant(Buffer.from('\n'))), {maxLength: 6});
		fc.assert(fc.property(parts, lengths, (pieces, split) => {
			const bytes = Buffer.concat(pieces);
			const {tokens, fault} = feed(createReader(), bytes, split);
			// No piece is a valid line, so there is a fault or an incomplete line within the limit.
			assert.deepEqual(tokens, []);
			const restBytes = bytes.length - bytes.lastIndexOf('\n') - 1;
			assert.ok(fault !== undefined || restBytes <= maxLineBytes);
		}));
	});

	it('fails on a line without an end as soon as the line is too long', () => {
		const reader = createReader();
		const read = feed(reader, Buffer.alloc(maxLineBytes + 1, 'x'), [16]);
		assert.match(read.fault ?? '', /longer than 256/v);
		// After the fault the reader ignores all bytes, also a valid line.
		assert.deepEqual(reader.add(encode(toLines(['a'], [1]))).tokens, []);
	});

	it('returns the complete answer, however it is split into lines and reads', () => {
		fc.assert(fc.property(answers, sizes, lengths, (answer, lineSizes, split) => {
			const reader = createReader();
			assert.deepEqual(feed(reader, encode(toLines(answer, lineSizes)), split), {tokens: answer, fault: undefined});
			assert.equal(reader.isFinished(), true);
		}));
	});

	it('passes on only the next tokens of its own attempt', () => {
		const noise = fc.record({
			at: fc.nat({max: 50}),
			kind: fc.constantFrom('other-request', 'other-attempt', 'again', 'skip'),
			count: fc.integer({min: 1, max: 3}),
		});
		fc.assert(fc.property(answers, sizes, fc.array(noise, {maxLength: 8}), lengths, (answer, lineSizes, noises, split) => {
			const lines = toLines(answer, lineSizes);
			for (const {at, kind, count} of noises) {
				const index = at % lines.length;
				const line = lines[index]!;
				const strange: Record<typeof kind, Line> = {
					'other-request': {...line, requestId: 'r2', tokens: ['foreign']},
					'other-attempt': {...line, attempt: 1, tokens: ['stale']},
					again: line,
					skip: {...line, offset: line.offset + line.tokens.length + count, tokens: ['early']},
				};
				lines.splice(index, 0, strange[kind]);
			}

			const {tokens, fault} = feed(createReader(), encode(lines), split);
			// Either the complete answer, or a prefix of it and a fault.
			assert.deepEqual(tokens, answer.slice(0, tokens.length));
			assert.ok(fault !== undefined || tokens.length === answer.length);
		}));
	});

	it('refuses an end mark that comes before tokens already read', () => {
		const reader = createReader();
		reader.add(encode(toLines(['a', 'b', 'c'], [1]).slice(0, 2)));
		assert.match(reader.add(encode([{
			requestId: 'r "1"', attempt: 2, offset: 0, tokens: ['a'], finish: 'stop',
		}])).fault ?? '', /end mark/v);
	});
});
