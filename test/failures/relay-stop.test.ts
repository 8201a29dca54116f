/** A planned stop of a relay, as callers meet it. */
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
 * A host is told to stop while a stream runs and callers still come, as the
 * balancer learns of it a second or two later. Callers must get the whole of
 * what has begun, and an answer to what they send meanwhile; a cut stream would
 * be work done twice, or lost where it may not be repeated.
 */
describe('relay: a planned stop', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture({workMs: 150, events: 6});
	});
	afterEach(async () => fixture.stop());

	it('says that it takes no more, answers who still comes, and ends streams whole', async () => {
		const {ask, isReady, stopRelay, servers} = fixture;
		const stream = ask({path: '/summary/1', headers: toStreamHeaders()});
		await waitUntil(() => [servers.decode1, servers.decode2].some(server => server.runs().length > 0), {deadlineMs, what: 'the stream to run'});
		const stopped = stopRelay();
		await waitUntil(async () => !await isReady(), {deadlineMs: 2000, what: 'the relay to be not ready'});
		const lateAnswer = await ask({path: '/lookup/1'});
		assert.equal(lateAnswer.status, 200, lateAnswer.body);
		const answer = await stream;
		assert.equal(answer.status, 200);
		assert.ok(answer.isWhole);
		assert.equal(answer.body.match(/^id: /gmv)?.length, 6);
		await stopped;
		await assert.rejects(ask({path: '/lookup/2'}), 'nobody listens any more');
	});

	it('ends within its limit though a server never answers, and the caller hears of it', async () => {
		const {ask, stopRelay, servers} = fixture;
		servers.desk1.misbehave('silent');
		const startedAt = performance.now();
		const hanging = Promise.allSettled([ask({path: '/lookup/1', headers: {'deadline-ms': '20000'}})]);
		await sleep(100);
		await stopRelay();
		assert.ok(performance.now() - startedAt < 6000);
		const [end] = await hanging;
		assert.ok(end.status === 'rejected' || [502, 504].includes(end.value.status), JSON.stringify(end));
	});
});
