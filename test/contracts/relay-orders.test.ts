/** Tests of the orders that the relay gives to the users' servers. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout} from 'node:timers/promises';
import {createServerCalls} from '../../platform/server-calls.js';
import {createHttpAgent} from '../../src/adapters/_lib/create-http-agent/index.js';
import {type ServerEntry} from '../../src/ports/config.js';
import {startServerStandIn, type ServerStandIn} from '../stand-ins/users-platform/server.js';
import {startRelayFixture} from '../stand-ins/users-platform/start-relay-fixture.js';
import {waitUntil} from '../_lib/wait-until/index.js';

let server: ServerStandIn;
const dispatcher = createHttpAgent({connections: 1, connectTimeoutMs: 1000});
const notices: unknown[] = [];
const calls = createServerCalls(() => dispatcher, {
	onNotice(noticed, notice) {
		notices.push({server: noticed.id, ...notice});
	},
});

const toEntry = (): ServerEntry => ({
	id: server.id, zone: 'a', url: `http://${server.address}`, role: 'prefill', pool: 'model', slots: 8, checksFence: false,
});

describe('orders to servers', () => {
	beforeEach(async () => {
		server = await startServerStandIn({id: 'prefill1'});
	});
	afterEach(async () => server.close());

	it('contain the role, the ordering host, the fence, and the server instance they are for', async () => {
		const done = await calls.assignRole!(toEntry(), {role: 'decode', host: 'front-a-1', fence: 41});
		assert.ok(done.isOk());
		const [order] = server.arrivals;
		assert.deepEqual(JSON.parse(order!.body), {
			op: 'stage', stage: 'decode', holder: 'front-a-1', fence: 41,
		});
		assert.equal(order!.headers['expect-instance'], 'prefill1');
	});

	it('report the notices in the answer of the server', async () => {
		server.setLeaving(true);
		await calls.assignRole!(toEntry(), {role: 'decode', host: 'front-a-1', fence: 41});
		assert.deepEqual(notices, [{server: 'prefill1', isLeaving: true, backoffMs: undefined}]);
	});

	it('fail with the status of the answer while another order is in progress', async () => {
		server.setBusy(true);
		const done = await calls.assignRole!(toEntry(), {role: 'decode', host: 'front-a-1', fence: 41});
		assert.equal(done._unsafeUnwrapErr().message, 'status 409');
	});
});

describe('a relay that gives orders', () => {
	// Guards against two hosts that undo each other's orders, as the settings that each of them read name it.
	it('leaves the orders to the host that was named last', async () => {
		const fixture = await startRelayFixture({hosts: 2});
		try {
			const {servers, publishServer} = fixture;
			publishServer(servers.decode2, {stage: 'prefill'});
			const orders = () => Object.values(servers).flatMap(({arrivals}) => arrivals.filter(({step}) => step === 'order'));
			await waitUntil(() => orders().length > 0, {deadlineMs: 30_000, what: 'a server to receive an order'});
			await setTimeout(3000);
			const holders = orders().map(({body}) => (JSON.parse(body) as {holder: string}).holder);
			assert.equal(new Set(holders).size, 1, `orders of ${holders.join(', ')}`);
		} finally {
			await fixture.stop();
		}
	});

	it('changes a surplus prefill server to the decode role', async () => {
		const fixture = await startRelayFixture();
		try {
			const {servers, publishServer} = fixture;
			publishServer(servers.decode2, {stage: 'prefill'});
			const ordered = () => Object.values(servers).flatMap(({id, arrivals}) => arrivals.filter(({step}) => step === 'order').map(() => id));
			const [first] = await waitUntil(() => ordered().length > 0 && ordered(), {deadlineMs: 20_000, what: 'a server to receive an order'});
			assert.ok(['decode2', 'prefill2'].includes(first!), 'the order must go to a server of the zone with two prefill servers');
		} finally {
			await fixture.stop();
		}
	});

	/* Guards against role changes that are based on an older copy of the platform, whose entries may be outdated. */
	it('gives no order between the return of the platform from an older copy and a complete read of the rewritten entries', async () => {
		const fixture = await startRelayFixture();
		try {
			const {servers, store, publishServer, logs} = fixture;
			const findPlaces = (wanted: string) => logs().flatMap(({message}, place) => message === wanted ? [place] : []);
			const findWholeReads = () => findPlaces('platform read anew after its return');
			const findOrders = () => findPlaces('server told to change its role');
			publishServer(servers.decode2, {stage: 'prefill'});
			const [first] = await waitUntil(() => findOrders().length > 0 && findOrders(), {deadlineMs: 20_000, what: 'a server to receive an order'});
			const changed = Object.values(servers).find(({id}) => id === logs()[first!]!.server)!;
			publishServer(changed, {stage: 'decode'});
			await waitUntil(() => logs().slice(first).some(({message, server, state}) => message === 'server changed' && server === changed.id && state === 'serving'), {
				deadlineMs: 20_000, what: 'the relay to log the changed server as serving',
			});
			store.restore(store.copy());
			await waitUntil(() => findWholeReads().length > 0, {deadlineMs: 20_000, what: 'the first complete read after the return', everyMs: 5});
			publishServer(changed, {stage: 'prefill'});
			const [, second] = await waitUntil(() => findOrders().length > 1 && findOrders(), {deadlineMs: 20_000, what: 'a second order, after the return'});
			const [, secondRead = Infinity] = findWholeReads();
			assert.ok(secondRead < second!, 'an order was given before the second complete read');
		} finally {
			await fixture.stop();
		}
	});
});
