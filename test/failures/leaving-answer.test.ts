/** What servers say of themselves in their answers, where the platform tells it late or not at all. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type ServerStandIn} from '../stand-ins/users-platform/server.js';
import {
	deadlineMs, startRelayFixture, type Asked, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

let fixture: RelayFixture;

const lookup: Asked = {path: '/lookup/1'};

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
});
