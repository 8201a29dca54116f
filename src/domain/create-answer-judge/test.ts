import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {createAnswerJudge, type AnswerVerdict} from './index.js';

const streamType = 'text/event-stream; charset=utf-8';

describe('createAnswerJudge', () => {
	const cases: ReadonlyArray<{name: string; method?: string; status?: number; headers: Record<string, string>; body: string; verdict: AnswerVerdict}> = [
		{
			name: 'a body of the stated length', headers: {'content-length': '4'}, body: 'full', verdict: 'whole',
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
			name: 'an orderly end of the connection', headers: {}, body: 'full', verdict: 'whole',
		},
		{
			name: 'an orderly end after an event', headers: {'content-type': streamType}, body: 'id: 1\n\n', verdict: 'whole',
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
			name: 'a stream in the identity coding that stops inside an event', headers: {'content-type': ' text/event-stream ; charset=utf-8', 'content-encoding': 'identity'}, body: 'id: 1', verdict: 'inside-event',
		},
		{
			name: 'an answer to HEAD', method: 'HEAD', headers: {'content-length': '9', 'content-type': streamType}, body: '', verdict: 'whole',
		},
		{
			name: 'status 204', status: 204, headers: {'content-type': streamType}, body: '', verdict: 'whole',
		},
	];
	for (const {name, method = 'POST', status = 200, headers, body, verdict} of cases) {
		it(`judges "${verdict}" for ${name}`, () => {
			const judge = createAnswerJudge({method, status, headers});
			judge.add(Buffer.from(body));
			assert.equal(judge.judge(), verdict);
		});
	}
});
