/** Faults of the platform, as seen by callers of the relay. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	deadlineMs, startEmptyRelay, startRelayFixture, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

let fixture: RelayFixture;

/*
 * The platform answers with older rules, loses its history, fails a read, or is
 * unreachable for seconds while the entries of healthy servers expire. Guards
 * against hosts that go back to older rules, or refuse requests although servers
 * of the pool are available.
 */
describe('relay: the platform misbehaves', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture();
	});
	afterEach(async () => fixture.stop());

	it('keeps newer rules when older ones are written after them', async () => {
		const {ask, askUntil, publishRoutes} = fixture;
		publishRoutes(9, route => route.name === 'lookups' ? undefined : route);
		await askUntil({path: '/lookup/'}, 404);
		publishRoutes(4);
		await sleep(1500);
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 404);
	});

	it('reads everything again when the platform has lost its history, and drops servers that are gone', async () => {
		const {askUntil, store, publishRoutes} = fixture;
		store.cutWatches();
		store.remove('servers/desk1');
		store.remove('servers/desk2');
		publishRoutes(5);
		store.dropHistory();
		await askUntil({path: '/lookup/'}, 503);
	});

	it('does not mistake one failed read for an outage: a server that left gets no more requests', async () => {
		const {ask, store, servers, logs} = fixture;
		store.cutWatches();
		store.remove('servers/desk1');
		await waitUntil(() => logs().some(line => line.server === 'desk1' && line.state === 'gone'), {deadlineMs: 2000, what: 'the relay to log that the server is gone'});
		const before = servers.desk1.arrivals.length;
		await Promise.all(Array.from({length: 6}, async () => ask({path: '/lookup/'})));
		assert.equal(servers.desk1.arrivals.length, before);
	});

	it('keeps using servers whose entries expired during an outage of the platform, and drops those that do not return', async () => {
		const {ask, store, logs} = fixture;
		store.setMode('refusing');
		store.cutWatches();
		await sleep(3500);
		store.remove('servers/desk1');
		store.remove('servers/desk2');
		store.dropHistory();
		store.setMode('well');
		await waitUntil(() => logs().some(line => line.message === 'platform answers' && Number(line.count) > 0), {deadlineMs, what: 'the platform to answer again'});
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 200, answer.body);
		await fixture.askUntil({path: '/lookup/'}, 503);
	});

	it('answers that nothing ran when no published server can be reached', async () => {
		const {ask, publishServer, servers, logs} = fixture;
		for (const server of [servers.desk1, servers.desk2]) {
			publishServer(server, {address: '127.0.0.1:1', zone: 'moved'});
		}

		await waitUntil(() => logs().filter(line => line.state === 'serving' && String(line.server).startsWith('desk')).length >= 4, {deadlineMs, what: 'the relay to know the new addresses'});
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 503);
		assert.notEqual(answer.headers['retry-after'], undefined);
	});

	it('skips entries that it can\'t parse, logs an error for each, and keeps the rules in force', async () => {
		const {ask, store, logs} = fixture;
		store.put('op/config', {version: 12, routes: 'none'});
		store.put('servers/odd', {service: 7});
		await waitUntil(() => logs().filter(line => line.level === 'error').length >= 2, {deadlineMs, what: 'an error in the log for each of the two entries'});
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 200, answer.body);
	});

	it('sends nothing to a server that is leaving', async () => {
		const {ask, publishServer, servers, logs} = fixture;
		publishServer(servers.desk1, {state: 'draining'});
		await waitUntil(() => logs().some(line => line.server === 'desk1' && line.state === 'leaving'), {deadlineMs, what: 'the relay to know that the server is leaving'});
		await Promise.all(Array.from({length: 6}, async () => ask({path: '/lookup/'})));
		assert.equal(servers.desk1.arrivals.length, 0);
		assert.ok(servers.desk2.arrivals.length >= 6);
	});
});

/*
 * A host starts before anything is published. Guards against a load balancer that
 * sends requests to it, and against callers that are told that their path is
 * wrong instead of that nothing ran.
 */
describe('relay: nothing is published yet', () => {
	it('is ready only once rules are in force', async () => {
		const empty = await startEmptyRelay();
		assert.equal(await empty.isReady(), false);
		const answer = await empty.ask({path: '/lookup/'});
		assert.equal(answer.status, 503);
		empty.publishRoutes(1);
		await waitUntil(empty.isReady, {deadlineMs, what: 'the relay to be ready'});
		await empty.stop();
	});
});
