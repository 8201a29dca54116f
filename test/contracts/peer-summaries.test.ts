/**
 * Tests of zone summaries. In a large fleet loads are not sent to other zones, so an
 * entry that spills needs summaries to know which other zone has free slots. Here the
 * limit of a small fleet is lowered, so that five agents are a large one.
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

/** Starts zone a with two hosts and a decode engine, and zone b with three hosts, one of which is not a contact, and a prefill engine. */
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

/** Returns the summary of the decode servers of zone a in a view. */
const toRow = (view: FleetView) => view.zones?.get('a')?.rows.find(({role}) => role === 'decode');

describe('agents of a large fleet', () => {
	it('send a summary of their zone to other zones and their entries, while loads stay in the zone', async () => {
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
		await until('zone b sees at least 18 free slots in zone a', () => farRows().every(row => row?.servers === 1 && row.free >= 18));
		const summary = view!.zones!.get('a')!;
		assert.ok(summary.at <= now() && summary.at > now() - 20_000);
		assert.equal(view!.zones!.has('b'), false, 'the view has no summary of its own zone');
		assert.equal(agents.get('b-1')!.view().servers.get('decode-1')!.load, undefined);
		assert.ok(agents.get('a-1')!.view().servers.get('decode-1')!.load !== undefined);

		const client = createEngineHttp({server: {id: 'decode-1', url: engine.url}});
		for (let i = 0; i < 10; i++) {
			await client.reserve({requestId: `r${i}`, attempt: 1, owner: {host: 'a-1', incarnation: 1}}, {
				promptTokens: 10, maxTokens: 10, ttlMs: 30_000, class: 'batch',
			});
		}

		await until('zone b sees at most 10 free slots in zone a', () => farRows().every(row => row!.free <= 10));
		engine.setState('leaving');
		await until('zone b sees no server in service in zone a', () => farRows().every(row => row!.servers === 0));
	});

	// During an upgrade, agents of the next version send messages with unknown fields. This
	// version must use the fields it knows, and ignore the others and unknown messages.
	it('ignore unknown parts of a message, and use the rest', async () => {
		const {agents} = await startFleet();
		const agent = agents.get('b-1')!;
		await until('b-1 has the summary of zone a', () => toRow(agent.view())?.servers === 1);
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

		await until('b-1 knows host a-9', () => agent.view().hosts.get('a-9') !== undefined);
		assert.equal(toRow(agent.view())?.servers, 1);
		assert.deepEqual([...agent.view().zones!.keys()], ['a']);
	});
});
