/** Faults of the platform, as callers of the relay meet them. */
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
 * The platform answers with older rules, forgets its history, fails a read, or is
 * away for seconds while the entries of living servers lapse. Callers must not
 * see rules go back, nor a pool without servers that serve.
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

	it('reads all anew when the history is forgotten, and drops servers that are gone', async () => {
		const {askUntil, store, publishRoutes} = fixture;
		store.cutWatches();
		store.remove('servers/desk1');
		store.remove('servers/desk2');
		publishRoutes(5);
		store.forget();
		await askUntil({path: '/lookup/'}, 503);
	});

	it('does not take one failed read for an outage: a server that left gets nothing more', async () => {
		const {ask, store, servers, logs} = fixture;
		store.cutWatches();
		store.remove('servers/desk1');
		await waitUntil(() => logs().some(line => line.server === 'desk1' && line.state === 'gone'), {deadlineMs: 2000, what: 'the server to be gone'});
		const before = servers.desk1.arrivals.length;
		await Promise.all(Array.from({length: 6}, async () => ask({path: '/lookup/'})));
		assert.equal(servers.desk1.arrivals.length, before);
	});

	it('serves on with servers whose entries lapsed while the platform was away, until they stay away', async () => {
		const {ask, store, logs} = fixture;
		store.setMood('refusing');
		store.cutWatches();
		await sleep(3500);
		store.remove('servers/desk1');
		store.remove('servers/desk2');
		store.forget();
		store.setMood('well');
		await waitUntil(() => logs().some(line => line.message === 'platform answers' && Number(line.count) > 0), {deadlineMs, what: 'the platform to answer again'});
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 200, answer.body);
		await fixture.askUntil({path: '/lookup/'}, 503);
	});

	it('says that nothing ran when no published server can be reached', async () => {
		const {ask, publishServer, servers, logs} = fixture;
		for (const server of [servers.desk1, servers.desk2]) {
			publishServer(server, {address: '127.0.0.1:1', zone: 'moved'});
		}

		await waitUntil(() => logs().filter(line => line.state === 'serving' && String(line.server).startsWith('desk')).length >= 4, {deadlineMs, what: 'the relay to know'});
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 503);
		assert.notEqual(answer.headers['retry-after'], undefined);
	});

	it('passes over an entry that it can\'t read, says so, and keeps the rules in force', async () => {
		const {ask, store, logs} = fixture;
		store.put('op/config', {version: 12, routes: 'none'});
		store.put('servers/odd', {service: 7});
		await waitUntil(() => logs().filter(line => line.level === 'error').length >= 2, {deadlineMs, what: 'both faults to be logged'});
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 200, answer.body);
	});

	it('gets nothing to a server that is leaving', async () => {
		const {ask, publishServer, servers, logs} = fixture;
		publishServer(servers.desk1, {state: 'draining'});
		await waitUntil(() => logs().some(line => line.server === 'desk1' && line.state === 'leaving'), {deadlineMs, what: 'the relay to know'});
		await Promise.all(Array.from({length: 6}, async () => ask({path: '/lookup/'})));
		assert.equal(servers.desk1.arrivals.length, 0);
		assert.ok(servers.desk2.arrivals.length >= 6);
	});
});

/*
 * A host starts before anything is published: the balancer must not send to it,
 * and who comes all the same is told that nothing ran, not that its path is wrong.
 */
describe('relay: nothing is published yet', () => {
	it('is ready only once rules are in force', async () => {
		const empty = await startEmptyRelay();
		assert.equal(await empty.isReady(), false);
		const answer = await empty.ask({path: '/lookup/'});
		assert.equal(answer.status, 503);
		empty.publishRoutes(1);
		await waitUntil(empty.isReady, {deadlineMs, what: 'readiness'});
		await empty.stop();
	});
});
