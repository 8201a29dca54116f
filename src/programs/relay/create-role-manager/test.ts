import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {errAsync, okAsync} from 'neverthrow';
import {createLog} from '../../../adapters/log/index.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type RoleOrder} from '../../../ports/server-calls.js';
import {type FleetView} from '../../../ports/view.js';
import {createRoleManager, type RoleManagerOptions, type RoleManager} from './index.js';

const toServer = (id: string, role: ServerEntry['role'], zone: string): ServerEntry => ({
	id, role, zone, url: `http://10.0.0.1:1/${id}`, pool: 'model', slots: 100, checksFence: false,
});

const six = [
	toServer('p1', 'prefill', 'a'), toServer('p2', 'prefill', 'b'), toServer('p3', 'prefill', 'c'), toServer('d1', 'decode', 'a'), toServer('d2', 'decode', 'b'), toServer('d3', 'decode', 'c'),
];

const toView = (servers: readonly ServerEntry[], leaving: readonly string[]): FleetView => ({
	accepted: {
		version: {edition: 1, revision: 1, digest: ''}, text: '', config: {
			zones: [], hosts: [], servers, rules: [], callerTokens: {}, weightStoreBytesPerSecond: 0, pools: [{
				name: 'model', kind: 'model', model: 'm', version: undefined, adapters: [], classes: [], isUnreported: true, roleChangeMs: 6000,
			}],
		},
	},
	hosts: new Map(),
	servers: new Map(leaving.map(id => [id, {
		id, leaving: true, load: undefined, loadAt: -Infinity, reachable: undefined,
	}])),
	platformConfirmedAt: 0,
	receivedAt: 0,
});

type GivenOrder = RoleOrder & {server: string; at: number};

let now: number;
let wall: number;
let servers: readonly ServerEntry[];
let leaving: readonly string[];
let isConnected: boolean;
let isAccepted: boolean;
let orders: GivenOrder[];
let measuredShare: number | undefined;

function start(): RoleManager {
	const assignRole: RoleManagerOptions['assignRole'] = ({id}, order) => {
		orders.push({...order, server: id, at: now});
		return isAccepted
			? okAsync(undefined)
			: errAsync({
				kind: 'refused', reason: 'other', server: id, message: 'status 409', retryAfterMs: undefined,
			});
	};

	return createRoleManager({
		host: 'front-a-1',
		prefillShare: 0.33,
		toPrefillShare: () => measuredShare,
		clock: {now: () => now, wallNow: () => wall},
		log: createLog({
			level: 'error', program: 'test', host: 'front-a-1', zone: 'a', incarnation: 1, sink: {write: () => true, writableLength: 0, on: () => undefined},
		}),
		assignRole,
		isConnected: () => isConnected,
		toView: () => toView(servers, leaving),
	});
}

/** Advances time with one tick a second, as the program does. */
async function advance(manager: RoleManager, seconds: number): Promise<void> {
	for (let second = 0; second < seconds; second++) {
		now += 1000;
		wall += 1000;
		await manager.tick();
	}
}

/*
 * Guards against needless role changes: each takes a server out of service for six
 * seconds, and callers are refused for lack of servers. There is no store to hold a
 * lease in, and the one host that gives orders may be killed right after an order,
 * be cut off from the platform, or see entries lapse that are back a moment later.
 */
describe('createRoleManager', () => {
	beforeEach(() => {
		now = 1000;
		wall = 1_780_000_000_000;
		servers = six;
		leaving = [];
		isConnected = true;
		isAccepted = true;
		orders = [];
		measuredShare = undefined;
	});

	it('uses the share estimated from requests once it is known', async () => {
		measuredShare = 0.45;
		const manager = start();
		await advance(manager, 20);
		assert.deepEqual(orders, []);
		measuredShare = 0.3;
		await advance(manager, 1);
		assert.deepEqual(orders.map(({role}) => role), ['decode']);
	});

	it('orders the one surplus prefill server to change, once, and waits for the change', async () => {
		const manager = start();
		await advance(manager, 5);
		assert.deepEqual(orders, [], 'not right after its start');
		await advance(manager, 15);
		assert.deepEqual(orders.map(({server, role, host}) => ({server, role, host})), [{server: 'p1', role: 'decode', host: 'front-a-1'}]);
	});

	it('repeats an order that was lost', async () => {
		isAccepted = false;
		const manager = start();
		await advance(manager, 40);
		assert.deepEqual(orders.map(({server}) => server), ['p1', 'p1']);
		assert.ok(orders[1]!.at - orders[0]!.at >= 26_000);
	});

	it('gives no order while the platform does not answer', async () => {
		isConnected = false;
		const manager = start();
		await advance(manager, 30);
		assert.deepEqual(orders, []);
	});

	it('waits ten seconds after a server was lost, also if that was before it may give orders', async () => {
		const manager = start();
		await advance(manager, 2);
		servers = six.filter(({id}) => id !== 'd3');
		await advance(manager, 1);
		servers = six;
		await advance(manager, 9);
		assert.deepEqual(orders, []);
		await advance(manager, 2);
		assert.equal(orders.length, 1);
	});

	it('replaces lost prefill servers after five seconds', async () => {
		measuredShare = 0.6;
		const manager = start();
		await advance(manager, 10);
		servers = six.filter(({id}) => id !== 'p1' && id !== 'p2');
		await advance(manager, 5);
		assert.deepEqual(orders, []);
		await advance(manager, 1);
		assert.deepEqual(orders.map(({role}) => role), ['prefill']);
	});

	it('does not wait after the loss of a server that had announced its leaving', async () => {
		const manager = start();
		await advance(manager, 3);
		leaving = ['d3'];
		await advance(manager, 1);
		servers = six.filter(({id}) => id !== 'd3');
		await advance(manager, 1);
		assert.deepEqual(orders, []);
		await advance(manager, 2);
		assert.deepEqual(orders.map(({role}) => role), ['decode']);
	});

	it('gives an order after a restart a higher fencing token, though the wall clock was set back meanwhile', async () => {
		isAccepted = false;
		await advance(start(), 7);
		wall -= 5000;
		await advance(start(), 7);
		assert.equal(orders.length, 2);
		assert.ok(orders[1]!.fence > orders[0]!.fence, JSON.stringify(orders));
	});

	it('takes fencing tokens from the monotonic clock within one process', async () => {
		isAccepted = false;
		const manager = start();
		await advance(manager, 7);
		wall -= 3_600_000;
		await advance(manager, 30);
		assert.equal(orders.length, 2);
		assert.ok(orders[1]!.fence > orders[0]!.fence, JSON.stringify(orders));
	});
});
