import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toForwardHeaders} from './index.js';

describe('toForwardHeaders', () => {
	const cases: ReadonlyArray<[string, Record<string, string | string[] | undefined>, readonly string[], Record<string, unknown>]> = [
		['keeps end-to-end headers and lists', {accept: 'a', 'set-cookie': ['a', 'b']}, [], {accept: 'a', 'set-cookie': ['a', 'b']}],
		['drops hop-by-hop headers', {
			te: 'trailers', 'transfer-encoding': 'chunked', upgrade: 'h2c', accept: 'a',
		}, [], {accept: 'a'}],
		['drops the headers that Connection names, in any case', {connection: 'close, X-Hop', 'x-hop': '1'}, [], {}],
		['drops the headers that the options name', {host: 'h', accept: 'a'}, ['host'], {accept: 'a'}],
		['drops absent values', {accept: undefined}, [], {}],
	];
	for (const [name, headers, drop, expected] of cases) {
		it(name, () => {
			assert.deepEqual(toForwardHeaders(headers, {drop}), expected);
		});
	}
});
