import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type StreamOrigin} from '../../../../ports/stream-origins.js';
import {type PlainRun} from '../../call-plain/_lib/types.js';
import {createRunStream} from '../../_lib/create-run-stream.js';
import {toOriginHeader} from '../../_lib/passed-headers.js';
import {findPeerFault, toPassedCallHeaders} from './passed-call.js';

const v1: StreamOrigin = {pool: 'letters', softwareVersion: 'v1'};
const v2: StreamOrigin = {pool: 'letters', softwareVersion: 'v2'};

function toRun(origin?: StreamOrigin): PlainRun {
	const run: unknown = {
		exchange: {requestId: 'r', headers: {accept: 'text/event-stream'}},
		route: {edition: 3, pool: {kind: 'plain'}},
		runs: 1,
		deadline: 1000,
		events: {hasBegun: origin !== undefined, lastId: origin && '4'},
		stream: createRunStream({origin}),
		ctx: {services: {clock: {now: () => 0}}, calls: {toRefusal: () => undefined}},
	};
	return run as PlainRun;
}

describe('a request that is passed on', () => {
	it('tells the other host where its stream began, or that it has not begun', () => {
		assert.deepEqual(toPassedCallHeaders(toRun(v1)), {
			accept: 'text/event-stream', 'x-banyanport-time-left': '1000', 'x-banyanport-edition': '3', 'x-banyanport-runs': '1', ...toOriginHeader(v1), 'last-event-id': '4',
		});
		assert.equal(toPassedCallHeaders(toRun())['x-banyanport-origin'], 'none');
	});

	// Guards against a host, of an older build perhaps, that continues the stream at any server.
	it('accepts no answer that another host does not tell to be of the origin', () => {
		for (const told of [{}, toOriginHeader(undefined), toOriginHeader(v2)]) {
			assert.equal(findPeerFault(toRun(v1), 200, told)?.kind, 'invalid');
		}

		assert.equal(findPeerFault(toRun(v1), 200, toOriginHeader(v1)), undefined);
	});

	it('accepts any answer while its stream has not begun', () => {
		for (const told of [{}, toOriginHeader(v1), toOriginHeader(v2)]) {
			assert.equal(findPeerFault(toRun(), 200, told), undefined);
		}
	});

	it('takes a problem of the other host for what it says of the run', () => {
		assert.equal(findPeerFault(toRun(v1), 503, {'x-banyanport-outcome': 'not-run'})?.kind, 'not-run');
		assert.equal(findPeerFault(toRun(v1), 504, {'x-banyanport-outcome': 'may-have-run'})?.kind, 'failed-answer');
	});
});
