/** The platform comes back from a copy some seconds old, as callers of the relay meet it. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../_lib/wait-until/index.js';
import {deadlineMs, startRelayFixture, type RelayFixture} from '../stand-ins/users-platform/start-relay-fixture.js';

let fixture: RelayFixture;

const toLines = (message: string) => fixture.logs().filter(line => line.message === message);

const isInForce = (edition: number): boolean => toLines('configuration in force').some(line => line.edition === edition);

const countFullReads = (): number => toLines('platform read anew after its return').length;

/** The relay has read what the copy has. */
const waitForCopy = async () => waitUntil(() => countFullReads() >= 1, {deadlineMs, what: 'the copy to be read', everyMs: 5});

/** Everything was read once more, after what was lost had its time to be written again. */
const waitForSecondRead = async () => waitUntil(() => countFullReads() >= 2, {deadlineMs, what: 'the second whole read'});

/*
 * Guards against rules that go back, against servers that left and are used again,
 * and against living servers that are dropped, because a copy of the platform is
 * taken for news, or its revisions for those of before.
 */
describe('relay: the platform comes back from an older copy', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture();
	});
	afterEach(async () => fixture.stop());

	it('keeps the newer rules, and takes the next ones', async () => {
		const {store, ask, askUntil, publishRoutes} = fixture;
		const copy = store.copy();
		publishRoutes(5, route => route.name === 'lookups' ? undefined : route);
		await askUntil({path: '/lookup/'}, 404);
		store.comeBackFrom(copy);
		await waitForCopy();
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 404);
		publishRoutes(6);
		await askUntil({path: '/lookup/'}, 200);
	});

	it('hears what is written under revisions that it has read before', async () => {
		const {store, publishRoutes, logs} = fixture;
		const copy = store.copy();
		for (const version of [2, 3, 4, 5]) {
			publishRoutes(version);
		}

		await waitUntil(() => isInForce(5), {deadlineMs, what: 'the relay to read to the end'});
		store.comeBackFrom(copy);
		// By the time of the next read the revisions have passed those of before.
		store.put('servers/desk9', {
			service: 'desk', address: '127.0.0.1:9', zone: 'b', version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: 1,
		});
		for (const version of [2, 3, 4, 5, 6]) {
			publishRoutes(version);
		}

		await waitUntil(() => logs().some(({server, state}) => server === 'desk9' && state === 'serving'), {deadlineMs, what: 'the server that was written below'});
		await waitUntil(() => isInForce(6), {deadlineMs, what: 'the newest rules'});
	});

	it('sends nothing to a server that left, though the copy lists it as ready', async () => {
		const {store, servers, publishServer, logs, ask} = fixture;
		const copy = store.copy();
		publishServer(servers.desk1, {state: 'draining'});
		store.remove('servers/desk2');
		await waitUntil(() => logs().some(({server, state}) => server === 'desk1' && state === 'leaving') && logs().some(({server, state}) => server === 'desk2' && state === 'gone'), {deadlineMs, what: 'both to be known'});
		store.comeBackFrom(copy);
		await waitForCopy();
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 503, 'a server that left was used');
		await sleep(1000);
		publishServer(servers.desk1, {state: 'draining'});
		store.remove('servers/desk2');
		await waitForSecondRead();
		const later = await ask({path: '/lookup/'});
		assert.equal(later.status, 503);
		assert.equal(servers.desk1.arrivals.length + servers.desk2.arrivals.length, 0);
	});

	it('uses a server that the copy lacks until it has written again, and drops one that does not', async () => {
		const {store, servers, publishServer, ask, askUntil, logs} = fixture;
		store.remove('servers/desk1');
		store.remove('servers/desk2');
		await askUntil({path: '/lookup/'}, 503);
		const copy = store.copy();
		servers.desk1.id = 'desk1-next';
		servers.desk2.id = 'desk2-next';
		publishServer(servers.desk1);
		publishServer(servers.desk2);
		await askUntil({path: '/lookup/'}, 200);
		store.comeBackFrom(copy);
		await waitForCopy();
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 200, 'a living server was dropped');
		await sleep(1000);
		publishServer(servers.desk1);
		await waitForSecondRead();
		const later = await ask({path: '/lookup/'});
		assert.equal(later.status, 200);
		assert.ok(!logs().some(({server, state}) => server === 'desk1-next' && state === 'gone'));
		assert.ok(logs().some(({server, state}) => server === 'desk2-next' && state === 'gone'));
	});

	it('tells what differs, and where the platform stands', async () => {
		const {store, servers, publishServer, publishRoutes} = fixture;
		const copy = store.copy();
		publishRoutes(3);
		publishServer(servers.desk1, {state: 'draining'});
		await waitUntil(() => isInForce(3) && fixture.logs().some(({server, state}) => server === 'desk1' && state === 'leaving'), {deadlineMs, what: 'both to be known'});
		store.comeBackFrom(copy);
		await waitForCopy();
		const [reset] = toLines('platform came back from an older copy, reading all anew');
		const [read] = toLines('platform read anew after its return');
		assert.deepEqual([reset!.era, reset!.eraBefore, reset!.edition], [2, 1, 3]);
		assert.deepEqual([read!.era, read!.edition, read!.count], [2, 1, 1]);
	});
});
