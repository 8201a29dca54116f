/** What servers say of themselves in their answers, where the platform tells it late or not at all. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type ServerStandIn} from '../stand-ins/users-platform/server.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type Asked, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

let fixture: RelayFixture;

const lookup: Asked = {path: '/lookup/1'};
const summary: Asked = {path: '/summary/1', body: 'prompt', headers: toStreamHeaders()};

/** Asks until the server has answered one more call. */
async function askUntilAnswered(server: ServerStandIn, asked: Asked): Promise<void> {
	const before = server.arrivals.length;
	await waitUntil(async () => {
		await fixture.ask(asked);
		return server.arrivals.length > before;
	}, {deadlineMs, what: `${server.id} to answer a call`});
}

/** Asks many times; gives the calls that reached the server meanwhile. */
async function askOften(server: ServerStandIn, asked: Asked): Promise<number> {
	const before = server.arrivals.length;
	const answers = await Promise.all(Array.from({length: 12}, async () => fixture.ask(asked)));
	assert.ok(answers.every(({status}) => status === 200), answers.map(({status}) => status).join(' '));
	return server.arrivals.length - before;
}

/*
 * Guards against requests at a server that said in an answer that it leaves, while
 * the platform does not answer or still lists it as ready.
 */
describe('relay: a server says in an answer that it leaves', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture();
	});
	afterEach(async () => fixture.stop());

	it('gets nothing new once it has answered so, though the platform is silent', async () => {
		const {servers, store} = fixture;
		store.setMood('silent');
		store.cutWatches();
		servers.desk1.setLeaving(true);
		await askUntilAnswered(servers.desk1, lookup);
		assert.equal(await askOften(servers.desk1, lookup), 0);
	});

	it('gets nothing new, though the platform lists it as ready after that', async () => {
		const {servers, publishServer, publishRoutes, logs} = fixture;
		servers.desk1.setLeaving(true);
		await askUntilAnswered(servers.desk1, lookup);
		publishServer(servers.desk1, {slots: 9});
		publishRoutes(2);
		await waitUntil(() => logs().some(({message, edition}) => message === 'configuration in force' && edition === 2), {deadlineMs, what: 'the host to read what was published'});
		assert.equal(await askOften(servers.desk1, lookup), 0);
	});

	it('computes no prompt for a decode server that says so with the place that it grants', async () => {
		const {servers} = fixture;
		servers.decode1.setLeaving(true);
		await askUntilAnswered(servers.decode1, summary);
		assert.equal(await askOften(servers.decode1, summary), 0);
		assert.equal(servers.decode1.runs().length, 0);
		const prompts = [...servers.prefill1.arrivals, ...servers.prefill2.arrivals].filter(({step}) => step === 'prefill').length;
		assert.equal(prompts, servers.decode2.runs().length, 'a prompt was computed for nothing');
		await waitUntil(() => servers.decode1.reservations() === 0, {deadlineMs, what: 'the place to be given back'});
	});

	it('gets no further prompt once it has computed one and said so', async () => {
		const {servers} = fixture;
		servers.prefill1.setLeaving(true);
		await askUntilAnswered(servers.prefill1, summary);
		await waitUntil(() => fixture.caches.size === 0, {deadlineMs, what: 'the prompt to be fetched'});
		assert.equal(await askOften(servers.prefill1, summary), 0);
	});

	it('is used again from its next start', async () => {
		const {servers, publishServer, store, knownServers} = fixture;
		servers.desk1.setLeaving(true);
		await askUntilAnswered(servers.desk1, lookup);
		servers.desk1.setLeaving(false);
		store.remove('servers/desk1');
		servers.desk1.id = 'desk1-next';
		publishServer(servers.desk1);
		await waitUntil(() => knownServers(0).has('desk1-next'), {deadlineMs, what: 'the next start to be known'});
		await askUntilAnswered(servers.desk1, lookup);
	});
});
