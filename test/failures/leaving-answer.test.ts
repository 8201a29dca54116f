/** States that servers announce in their answers, which the platform reports late or not at all. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {createDeferred} from '../../src/_lib/create-deferred/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type ServerStandIn} from '../stand-ins/users-platform/server.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type RelayCall, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

let fixture: RelayFixture;

const lookup: RelayCall = {path: '/lookup/1'};
const summary: RelayCall = {path: '/summary/1', body: 'prompt', headers: toStreamHeaders()};

/** Sends requests until the server has answered one; returns the time just before that request. */
async function askUntilAnswered(server: ServerStandIn, asked: RelayCall): Promise<number> {
	const before = server.arrivals.length;
	return waitUntil(async () => {
		const at = performance.now();
		await fixture.ask(asked);
		return server.arrivals.length > before && at;
	}, {deadlineMs, what: `${server.id} to answer a call`});
}

/** Sends 12 requests at once; returns how many calls reached the server meanwhile. */
async function countCallsDuringLoad(server: ServerStandIn, asked: RelayCall): Promise<number> {
	const before = server.arrivals.length;
	const answers = await Promise.all(Array.from({length: 12}, async () => fixture.ask(asked)));
	assert.ok(answers.every(({status}) => status === 200), answers.map(({status}) => status).join(' '));
	return server.arrivals.length - before;
}

/*
 * Guards against requests sent to a server that has announced in an answer that it
 * is leaving, while the platform does not answer or still lists it as ready.
 */
describe('relay: a server says in an answer that it is leaving', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture();
	});
	afterEach(async () => fixture.stop());

	it('gets no new requests after that answer, although the platform is silent', async () => {
		const {servers, store} = fixture;
		store.setMode('silent');
		store.cutWatches();
		servers.desk1.setLeaving(true);
		await askUntilAnswered(servers.desk1, lookup);
		assert.equal(await countCallsDuringLoad(servers.desk1, lookup), 0);
	});

	it('gets no new requests, although the platform lists it as ready after that answer', async () => {
		const {servers, publishServer, publishRoutes, logs} = fixture;
		servers.desk1.setLeaving(true);
		await askUntilAnswered(servers.desk1, lookup);
		publishServer(servers.desk1, {slots: 9});
		publishRoutes(2);
		await waitUntil(() => logs().some(({message, edition}) => message === 'configuration in force' && edition === 2), {deadlineMs, what: 'the host to read what was published'});
		assert.equal(await countCallsDuringLoad(servers.desk1, lookup), 0);
	});

	it('gets no prompt computed for it if it is a decode server and says so when it grants a reservation', async () => {
		const {servers} = fixture;
		servers.decode1.setLeaving(true);
		await askUntilAnswered(servers.decode1, summary);
		assert.equal(await countCallsDuringLoad(servers.decode1, summary), 0);
		assert.equal(servers.decode1.runs().length, 0);
		const prompts = [...servers.prefill1.arrivals, ...servers.prefill2.arrivals].filter(({step}) => step === 'prefill').length;
		assert.equal(prompts, servers.decode2.runs().length, 'a prompt was computed that no decode server used');
		await waitUntil(() => servers.decode1.reservations() === 0, {deadlineMs, what: 'the reservation to be released'});
	});

	it('gets no further prompt after it has computed one and said so', async () => {
		const {servers} = fixture;
		servers.prefill1.setLeaving(true);
		await askUntilAnswered(servers.prefill1, summary);
		await waitUntil(() => fixture.caches.size === 0, {deadlineMs, what: 'the computed prompt to be fetched'});
		assert.equal(await countCallsDuringLoad(servers.prefill1, summary), 0);
	});

	it('is used again after its next start', async () => {
		const {servers, publishServer, store, knownServers} = fixture;
		servers.desk1.setLeaving(true);
		await askUntilAnswered(servers.desk1, lookup);
		servers.desk1.setLeaving(false);
		store.remove('servers/desk1');
		servers.desk1.id = 'desk1-next';
		publishServer(servers.desk1);
		await waitUntil(() => knownServers(0).has('desk1-next'), {deadlineMs, what: 'the host to know the next start'});
		await askUntilAnswered(servers.desk1, lookup);
	});
});

/*
 * Guards against requests sent to a server that has turned one away and asked for
 * none during a stated time.
 */
describe('relay: a server turns requests away for a while', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture();
	});
	afterEach(async () => fixture.stop());

	const backoffMs = 2000;

	/** Makes the server turn one call away, and serve all others; returns the time just before that call. */
	async function turnOneCallAway(server: ServerStandIn, asked: RelayCall): Promise<number> {
		server.setBackoffSeconds(backoffMs / 1000);
		const at = await askUntilAnswered(server, asked);
		server.setBackoffSeconds(undefined);
		return at;
	}

	const cases: ReadonlyArray<{name: string; server: 'desk1' | 'decode1' | 'prefill1'; asked: RelayCall}> = [
		{name: 'of a plain service', server: 'desk1', asked: {path: '/check/1', method: 'GET'}},
		{name: 'that runs streams', server: 'decode1', asked: summary},
		{name: 'that computes prompts', server: 'prefill1', asked: summary},
	];
	for (const {name, server: id, asked} of cases) {
		it(`gets no requests until that time is over, and is used again then: a server ${name}`, async () => {
			const server = fixture.servers[id];
			const at = await turnOneCallAway(server, asked);
			const before = server.arrivals.length;
			while (performance.now() - at < 0.8 * backoffMs) {
				const {status} = await fixture.ask(asked);
				assert.equal(status, 200);
			}

			assert.equal(server.arrivals.length, before);
			await askUntilAnswered(server, asked);
			assert.ok(performance.now() - at >= backoffMs, 'a call reached the server before its back-off was over');
		});
	}

	it('refuses at once with Retry-After if all servers of a service back off', async () => {
		const {desk1, desk2} = fixture.servers;
		const [first] = await Promise.all([turnOneCallAway(desk1, lookup), turnOneCallAway(desk2, lookup)]);
		const before = desk1.arrivals.length + desk2.arrivals.length;
		const answer = await fixture.ask(lookup);
		assert.ok(performance.now() - first < backoffMs, 'the back-off ended before the refusal: the machine was too slow for this test');
		assert.equal(answer.status, 503);
		const returnMs = Number(answer.headers['retry-after']) * 1000;
		assert.ok(returnMs > 0 && returnMs <= backoffMs, String(returnMs));
		assert.equal(desk1.arrivals.length + desk2.arrivals.length, before);
	});

	it('lets a stream wait for a decode server whose back-off ends early enough for the deadline', async () => {
		const {decode1, decode2} = fixture.servers;
		decode1.setBackoffSeconds(0.3);
		decode2.setBackoffSeconds(0.3);
		const asking = fixture.ask(summary);
		await waitUntil(() => decode1.arrivals.length + decode2.arrivals.length >= 2, {deadlineMs, what: 'both decode servers to turn the stream away', everyMs: 5});
		decode1.setBackoffSeconds(undefined);
		decode2.setBackoffSeconds(undefined);
		const {status} = await asking;
		assert.equal(status, 200);
		assert.equal([...decode1.arrivals, ...decode2.arrivals].filter(({step}) => step === 'reserve').length, 3);
	});

	it('refuses a stream at once if all decode servers back off for longer than the stream can wait', async () => {
		const {decode1, decode2, prefill1, prefill2} = fixture.servers;
		decode1.setBackoffSeconds(20);
		decode2.setBackoffSeconds(20);
		const {status, headers, tookMs} = await fixture.ask(summary);
		assert.equal(status, 503);
		assert.ok(Number(headers['retry-after']) > 10, String(headers['retry-after']));
		assert.ok(tookMs < 800, `${tookMs}`);
		assert.equal(prefill1.arrivals.length + prefill2.arrivals.length, 0);
	});

	it('gets neither the run nor the release of its reservation if it asks to back off while a prompt is computed for it', async () => {
		const {decode1, decode2, prefill1, prefill2} = fixture.servers;
		const released = createDeferred();
		prefill1.delayPrefillsUntil(released.promise);
		prefill2.delayPrefillsUntil(released.promise);
		const asking = fixture.ask(summary);
		await waitUntil(() => prefill1.arrivals.length + prefill2.arrivals.length > 0, {deadlineMs, what: 'a prompt under way', everyMs: 5});
		const chosen = decode1.arrivals.length > 0 ? decode1 : decode2;
		chosen.setBackoffSeconds(backoffMs / 1000);
		const other = fixture.ask(summary);
		await waitUntil(() => fixture.logs().some(({message, server}) => message === 'server asks to back off' && server === chosen.id), {
			deadlineMs, what: 'the relay to log that the chosen server backs off', everyMs: 5,
		});
		const before = chosen.arrivals.length;
		prefill1.delayPrefillsUntil(Promise.resolve());
		prefill2.delayPrefillsUntil(Promise.resolve());
		released.resolve();
		const answers = await Promise.all([asking, other]);
		assert.deepEqual(answers.map(({status}) => status), [200, 200]);
		assert.deepEqual(chosen.arrivals.slice(before).map(({step}) => step), []);
	});
});
