import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {
	originHeader, readOrigin, readPassed, toOriginHeader, toPassedHeaders,
} from './passed-headers.js';

const passed = {deadlineInMs: 700, edition: 3, runs: 1};
const read = (headers: Record<string, string>) => readPassed({headers} as unknown as CallerExchange);

const origins: fc.Arbitrary<StreamOrigin> = fc.record({pool: fc.string(), softwareVersion: fc.option(fc.string(), {nil: undefined})}, {noNullPrototype: true});

describe('headers of a request that is passed on', () => {
	it('tell where its stream began, whatever names pool and version have', () => {
		fc.assert(fc.property(origins, origin => {
			const headers = toPassedHeaders({...passed, stream: {origin}});
			assert.match(headers[originHeader]!, /^[\u0021-\u007E]+$/v);
			assert.deepEqual(read(headers)?.passed?.stream, {origin});
			assert.deepEqual(readOrigin(toOriginHeader(origin)), origin);
		}));
	});

	it('tell that the stream has not begun, which differs from telling nothing', () => {
		assert.deepEqual(read(toPassedHeaders({...passed, stream: {origin: undefined}}))?.passed, {...passed, stream: {origin: undefined}});
		assert.deepEqual(read(toPassedHeaders(passed))?.passed, passed);
		assert.equal(readOrigin({}), undefined);
		assert.equal(readOrigin(toOriginHeader(undefined)), undefined);
	});

	it('tell nothing if they have another form, and are not kept', () => {
		for (const text of ['', 'v1', 'software-version=v1']) {
			const request = read({...toPassedHeaders(passed), [originHeader]: text});
			assert.equal(request?.passed?.stream, undefined);
			assert.deepEqual(request?.headers, {});
		}
	});
});
