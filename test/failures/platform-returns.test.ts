/** The platform is restored from a backup that is some seconds old, as seen by callers of the relay. */
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

/** Waits until the relay has read the restored copy. */
const waitForCopy = async () => waitUntil(() => countFullReads() >= 1, {deadlineMs, what: 'the relay to read the restored copy', everyMs: 5});

/** Waits for the second full read, which follows after lost entries have had time to be written again. */
const waitForSecondRead = async () => waitUntil(() => countFullReads() >= 2, {deadlineMs, what: 'the second full read'});

/*
 * Guards against hosts that go back to older rules, use servers again that have
 * left, or drop healthy servers, because they mistake the restored copy for new
 * content or its revisions for those from before the restore.
 */
describe('relay: the platform is restored from an older copy', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture();
	});
	afterEach(async () => fixture.stop());

	it('keeps the newer rules, and accepts the next ones', async () => {
		const {store, ask, askUntil, publishRoutes} = fixture;
		const copy = store.copy();
		publishRoutes(5, route => route.name === 'lookups' ? undefined : route);
		await askUntil({path: '/lookup/'}, 404);
		store.restore(copy);
		await waitForCopy();
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 404);
		publishRoutes(6);
		await askUntil({path: '/lookup/'}, 200);
	});

	it('reads what is written under revisions that it has read before the restore', async () => {
		const {store, publishRoutes, logs} = fixture;
		const copy = store.copy();
		for (const version of [2, 3, 4, 5]) {
			publishRoutes(version);
		}

		await waitUntil(() => isInForce(5), {deadlineMs, what: 'the relay to read the last edition'});
		store.restore(copy);
		// By the next read the revisions are higher than those from before the restore.
		store.put('servers/desk9', {
			service: 'desk', address: '127.0.0.1:9', zone: 'b', version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: 1,
		});
		for (const version of [2, 3, 4, 5, 6]) {
			publishRoutes(version);
		}

		await waitUntil(() => logs().some(({server, state}) => server === 'desk9' && state === 'serving'), {deadlineMs, what: 'the server that was written under a lower revision'});
		await waitUntil(() => isInForce(6), {deadlineMs, what: 'the newest rules to be in force'});
	});

	it('sends nothing to a server that left, though the copy lists it as ready', async () => {
		const {store, servers, publishServer, logs, ask} = fixture;
		const copy = store.copy();
		publishServer(servers.desk1, {state: 'draining'});
		store.remove('servers/desk2');
		await waitUntil(() => logs().some(({server, state}) => server === 'desk1' && state === 'leaving') && logs().some(({server, state}) => server === 'desk2' && state === 'gone'), {
			deadlineMs, what: 'the relay to know that both servers left',
		});
		store.restore(copy);
		await waitForCopy();
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 503, 'a request was not refused although all servers had left');
		await sleep(1000);
		publishServer(servers.desk1, {state: 'draining'});
		store.remove('servers/desk2');
		await waitForSecondRead();
		const later = await ask({path: '/lookup/'});
		assert.equal(later.status, 503);
		assert.equal(servers.desk1.arrivals.length + servers.desk2.arrivals.length, 0);
	});

	it('uses servers that the copy lacks until the second full read, and drops those that have not been published again by then', async () => {
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
		store.restore(copy);
		await waitForCopy();
		const answer = await ask({path: '/lookup/'});
		assert.equal(answer.status, 200, 'a healthy server was dropped');
		await sleep(1000);
		publishServer(servers.desk1);
		await waitForSecondRead();
		const later = await ask({path: '/lookup/'});
		assert.equal(later.status, 200);
		assert.ok(!logs().some(({server, state}) => server === 'desk1-next' && state === 'gone'));
		assert.ok(logs().some(({server, state}) => server === 'desk2-next' && state === 'gone'));
	});

	it('logs the numbers of both eras, the edition, and how many servers differ', async () => {
		const {store, servers, publishServer, publishRoutes} = fixture;
		const copy = store.copy();
		publishRoutes(3);
		publishServer(servers.desk1, {state: 'draining'});
		await waitUntil(() => isInForce(3) && fixture.logs().some(({server, state}) => server === 'desk1' && state === 'leaving'), {
			deadlineMs, what: 'the relay to know the new rules and the leaving server',
		});
		store.restore(copy);
		await waitForCopy();
		const [reset] = toLines('platform came back from an older copy, reading all anew');
		const [read] = toLines('platform read anew after its return');
		assert.deepEqual([reset!.era, reset!.eraBefore, reset!.edition], [2, 1, 3]);
		assert.deepEqual([read!.era, read!.edition, read!.count], [2, 1, 1]);
	});
});
