/** A planned stop of a relay, as seen by its callers. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

let fixture: RelayFixture;

/*
 * Guards against requests lost in a planned stop. A host is told to stop while a
 * stream is in flight, and callers still connect because the load balancer notices
 * a second or two later. Streams in flight have to be completed and late requests
 * answered: a stream that is cut off is run twice, or lost if it must not be
 * repeated.
 */
describe('relay: a planned stop', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture({workMs: 150, events: 6});
	});
	afterEach(async () => fixture.stop());

	it('stops being ready, answers late requests, and completes streams in flight', async () => {
		const {ask, isReady, stopRelay, servers} = fixture;
		const stream = ask({path: '/summary/1', headers: toStreamHeaders()});
		await waitUntil(() => [servers.decode1, servers.decode2].some(server => server.runs().length > 0), {deadlineMs, what: 'a decode server to run the stream'});
		const stopped = stopRelay();
		await waitUntil(async () => !await isReady(), {deadlineMs: 2000, what: 'the relay to stop being ready'});
		const lateAnswer = await ask({path: '/lookup/1'});
		assert.equal(lateAnswer.status, 200, lateAnswer.body);
		const answer = await stream;
		assert.equal(answer.status, 200);
		assert.ok(answer.isWhole);
		assert.equal(answer.body.match(/^id: /gmv)?.length, 6);
		await stopped;
		await assert.rejects(ask({path: '/lookup/2'}), 'the stopped relay accepted a connection');
	});

	it('stops within its time limit although a server never answers, and tells the caller', async () => {
		const {ask, stopRelay, servers} = fixture;
		servers.desk1.addFaults('silent');
		const startedAt = performance.now();
		const hanging = Promise.allSettled([ask({path: '/lookup/1', headers: {'deadline-ms': '20000'}})]);
		await sleep(100);
		await stopRelay();
		assert.ok(performance.now() - startedAt < 6000);
		const [end] = await hanging;
		assert.ok(end.status === 'rejected' || [502, 504].includes(end.value.status), JSON.stringify(end));
	});
});
