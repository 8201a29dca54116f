/**
 * In a large fleet loads stay in their zone, and an entry that spills must know
 * which other zone has room. Here five agents are a large fleet.
 */
import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {createEngineHttp} from '../../src/adapters/engine-http/index.js';
import {connectPeer, listenPeers} from '../../src/adapters/peer-tcp/index.js';
import {connectViewFeed} from '../../src/adapters/view-feed/index.js';
import {pickZoneContacts} from '../../src/domain/pick-zone-contacts/index.js';
import {type Agent} from '../../src/programs/agent/_lib/start-agent.js';
import {type FleetView} from '../../src/ports/view.js';
import {startPlatformStandIn} from '../stand-ins/platform/index.js';
import {
	now, runAgent, startEngines, toConfigText, until,
} from './_lib/run-agents.js';

const hostsOfB = ['b-1', 'b-2', 'b-3'];
const closers: Array<() => Promise<void>> = [];

after(async () => {
	for (const close of closers.reverse()) {
		await close();
	}
});

/** A zone of two hosts with a decode engine, and one of three with a prefill engine, of which one host is no contact. */
async function startFleet() {
	const {engine, prefill, servers} = await startEngines();
	const platform = await startPlatformStandIn({
		config: toConfigText({zones: {a: 2, b: 3}, servers}),
		fleet: {hosts: [], servers: []},
	});
	const start = async (hostId: string, seeds: readonly string[]) => runAgent({
		hostId, zone: hostId[0]!, platformUrl: platform.url, seeds, smallFleet: 3,
	});
	const first = await start('a-1', []);
	const agents = new Map<string, Agent>([['a-1', first]]);
	for (const hostId of ['a-2', ...hostsOfB]) {
		agents.set(hostId, await start(hostId, [`127.0.0.1:${first.peerPort}`]));
	}

	closers.push(engine.stop, prefill.stop, platform.stop, async () => {
		await Promise.all([...agents.values()].map(async agent => agent.stop()));
	});
	return {engine, agents};
}

/** What a view says of the decode servers of zone a. */
const toRow = (view: FleetView) => view.zones?.get('a')?.rows.find(({role}) => role === 'decode');

describe('agents of a large fleet', () => {
	it('tell other zones what theirs has free, and their entries too, while loads stay in the zone', async () => {
		const {engine, agents} = await startFleet();
		const contacts = pickZoneContacts('b', hostsOfB.map(id => ({id, life: 'alive'})));
		const quiet = hostsOfB.find(id => !contacts.includes(id))!;
		const hello = {
			host: quiet, zone: 'b', role: 'entry' as const, incarnation: 1,
		};
		const peers = await listenPeers({bind: '127.0.0.1', port: 0, hello});
		let view: FleetView | undefined;
		const feed = connectViewFeed({
			agentAddress: `127.0.0.1:${agents.get(quiet)!.peerPort}`, hello, entryAddress: `127.0.0.1:${peers.port}`, onView(next) {
				view = next;
			}, now, random: Math.random,
		});
		closers.push(async () => {
			await Promise.all([feed.close(), peers.close()]);
		});
		const farRows = () => [...hostsOfB.map(id => agents.get(id)!.view()), view].map(known => known && toRow(known));
		await until('zone b knows what zone a has free', () => farRows().every(row => row?.servers === 1 && row.free >= 18));
		const summary = view!.zones!.get('a')!;
		assert.ok(summary.at <= now() && summary.at > now() - 20_000);
		assert.equal(view!.zones!.has('b'), false, 'its own zone it knows better');
		assert.equal(agents.get('b-1')!.view().servers.get('decode-1')!.load, undefined);
		assert.ok(agents.get('a-1')!.view().servers.get('decode-1')!.load !== undefined);

		const client = createEngineHttp({server: {id: 'decode-1', url: engine.url}});
		for (let i = 0; i < 10; i++) {
			await client.reserve({requestId: `r${i}`, attempt: 1, owner: {host: 'a-1', incarnation: 1}}, {
				promptTokens: 10, maxTokens: 10, ttlMs: 30_000, class: 'batch',
			});
		}

		await until('zone b knows that less is free', () => farRows().every(row => row!.free <= 10));
		engine.setState('leaving');
		await until('zone b knows that no server is in service', () => farRows().every(row => row!.servers === 0));
	});

	// An agent of the next version speaks first: its messages must still count for
	// what this version knows of them, and what it does not know must do no harm.
	it('leave alone what they do not know in a message, and take the rest', async () => {
		const {agents} = await startFleet();
		const agent = agents.get('b-1')!;
		await until('the summary is known', () => toRow(agent.view())?.servers === 1);
		const connected = await connectPeer({
			address: `127.0.0.1:${agent.peerPort}`, hello: {
				host: 'a-9', zone: 'a', role: 'agent', incarnation: 7,
			},
		});
		const peer = connected._unsafeUnwrap();
		closers.push(async () => {
			peer.close();
		});
		const record = {
			id: 'a-9', zone: 'a', incarnation: 7, revision: 0, life: 'alive', agentAddress: '', entryAddress: '', entryIncarnation: 0, entryGone: 0, leaving: false, witnesses: [],
		};
		const garbage = ['text', {}, Uint8Array.of(9, 1, 2, 3), Uint8Array.of(1, 0, 0), new Uint8Array(5000).fill(255)];
		for (const [i, summaries] of garbage.entries()) {
			peer.send('summaries', {root: 'b-2', round: i, bytes: summaries});
			peer.send('not-yet-invented', summaries);
			peer.send('member', {
				message: {
					kind: 'ping', seq: i, incarnation: 7, revision: 0, digest: 0, updates: [record],
				}, summaries, more: true,
			});
		}

		await until('the host is known', () => agent.view().hosts.get('a-9') !== undefined);
		assert.equal(toRow(agent.view())?.servers, 1);
		assert.deepEqual([...agent.view().zones!.keys()], ['a']);
	});
});
