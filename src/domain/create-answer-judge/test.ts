import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createAnswerJudge, type AnswerVerdict, type TransportEnd} from './index.js';

const streamType = 'text/event-stream; charset=utf-8';

describe('createAnswerJudge', () => {
	const cases: ReadonlyArray<{name: string; method?: string; status?: number; headers: Record<string, string>; body: string; end?: TransportEnd; verdict: AnswerVerdict}> = [
		{
			name: 'a body of the stated length', headers: {'content-length': '4'}, body: 'full', verdict: 'whole',
		},
		{
			name: 'a body of the stated length before a reset', headers: {'content-length': '4'}, body: 'full', end: 'reset', verdict: 'whole',
		},
		{
			name: 'fewer bytes than stated', headers: {'content-length': '9'}, body: 'half', verdict: 'short',
		},
		{
			name: 'more bytes than stated', headers: {'content-length': '2'}, body: 'half', verdict: 'long',
		},
		{
			name: 'chunks with their end', headers: {'transfer-encoding': 'chunked'}, body: 'full', verdict: 'whole',
		},
		{
			name: 'chunks with their end, whose last event has none', headers: {'transfer-encoding': 'chunked', 'content-type': streamType}, body: 'id: 1\n\n: bye', verdict: 'whole',
		},
		{
			name: 'chunks before a reset', headers: {'transfer-encoding': 'chunked'}, body: 'half', end: 'reset', verdict: 'reset',
		},
		{
			name: 'an orderly end of the connection', headers: {}, body: 'full', verdict: 'whole',
		},
		{
			name: 'a reset connection', headers: {}, body: 'half', end: 'reset', verdict: 'reset',
		},
		{
			name: 'an orderly end after an event', headers: {'content-type': streamType}, body: 'id: 1\n\n', verdict: 'whole',
		},
		{
			name: 'a reset between two events', headers: {'content-type': streamType}, body: 'id: 1\n\n', end: 'reset', verdict: 'reset',
		},
		{
			name: 'an orderly end inside an event', headers: {'content-type': streamType}, body: 'id: 1\n\nid: 2\nda', verdict: 'inside-event',
		},
		{
			name: 'an orderly end before the blank line of an event', headers: {'content-type': streamType}, body: 'id: 1\ndata: x\n', verdict: 'inside-event',
		},
		{
			name: 'a stream without an event', headers: {'content-type': streamType}, body: '', verdict: 'no-event',
		},
		{
			name: 'an encoded stream, whose bytes are no events', headers: {'content-type': streamType, 'content-encoding': 'gzip'}, body: 'xx', verdict: 'whole',
		},
		{
			name: 'an answer to HEAD', method: 'HEAD', headers: {'content-length': '9', 'content-type': streamType}, body: '', verdict: 'whole',
		},
		{
			name: 'status 204', status: 204, headers: {'content-type': streamType}, body: '', verdict: 'whole',
		},
	];
	for (const {name, method = 'POST', status = 200, headers, body, end = 'ended', verdict} of cases) {
		it(`judges "${verdict}" for ${name}`, () => {
			const judge = createAnswerJudge({method, status, headers});
			judge.add(Buffer.from(body));
			assert.equal(judge.judge(end), verdict);
		});
	}

	/*
	 * Guards against a truncated answer that is called whole: the server breaks it off
	 * at any byte, by a reset or an orderly end, whatever the framing and the chunks.
	 */
	it('calls no truncated stream of events whole, unless it was closed in order between two events', () => {
		const framing = fc.constantFrom('length', 'chunks', 'connection');
		fc.assert(fc.property(framing, fc.integer({min: 1, max: 6}), fc.double({min: 0, max: 1, noNaN: true}), fc.array(fc.integer({min: 1, max: 20}), {minLength: 1, maxLength: 10}), fc.constantFrom<TransportEnd>('ended', 'reset'), (framed, count, share, sizes, end) => {
			const events = Array.from({length: count}, (_, i) => Buffer.from(`id: ${i}\ndata: pièce\n\n`));
			const whole = Buffer.concat(events);
			const sent = whole.subarray(0, Math.floor(whole.length * share));
			const headers = {
				'content-type': streamType,
				...(framed === 'length' && {'content-length': String(whole.length)}),
				...(framed === 'chunks' && {'transfer-encoding': 'chunked'}),
			};
			const judge = createAnswerJudge({method: 'POST', status: 200, headers});
			for (let at = 0, i = 0; at < sent.length; i++) {
				const size = sizes[i % sizes.length]!;
				judge.add(sent.subarray(at, at + size));
				at += size;
			}

			const isWhole = sent.length === whole.length;
			const isBetweenEvents = sent.length > 0 && sent.length % events[0]!.length === 0;
			const verdict = judge.judge(end);
			if (framed === 'length') {
				assert.equal(verdict === 'whole', isWhole);
			} else if (end === 'reset') {
				assert.equal(verdict, 'reset');
			} else if (framed === 'connection') {
				assert.equal(verdict === 'whole', isBetweenEvents);
			}
		}));
	});
});
