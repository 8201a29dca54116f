import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findAnswerFraming, type AnswerFraming} from './index.js';

describe('findAnswerFraming', () => {
	const cases: ReadonlyArray<{name: string; method?: string; status?: number; headers: Record<string, string>; framing: AnswerFraming}> = [
		{name: 'a stated length', headers: {'content-length': '5'}, framing: 'length'},
		{name: 'a length of zero', headers: {'content-length': '0'}, framing: 'length'},
		{name: 'chunks', headers: {'transfer-encoding': 'chunked'}, framing: 'chunks'},
		{name: 'chunks after another coding', headers: {'transfer-encoding': 'gzip, Chunked'}, framing: 'chunks'},
		{name: 'chunks that override a length', headers: {'transfer-encoding': 'chunked', 'content-length': '5'}, framing: 'chunks'},
		{name: 'a coding without chunks', headers: {'transfer-encoding': 'gzip'}, framing: 'connection'},
		{name: 'neither', headers: {connection: 'close'}, framing: 'connection'},
		{
			name: 'a HEAD request', method: 'HEAD', headers: {'content-length': '5'}, framing: 'none',
		},
		{
			name: 'status 204', status: 204, headers: {}, framing: 'none',
		},
		{
			name: 'status 304', status: 304, headers: {'content-length': '5'}, framing: 'none',
		},
	];
	for (const {name, method = 'GET', status = 200, headers, framing} of cases) {
		it(`finds "${framing}" for ${name}`, () => {
			assert.equal(findAnswerFraming({method, status, headers}), framing);
		});
	}
});
