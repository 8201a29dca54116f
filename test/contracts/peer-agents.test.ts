import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createEngineHttp} from '../../src/adapters/engine-http/index.js';
import {connectPeer, listenPeers, type PeerHello} from '../../src/adapters/peer-tcp/index.js';
import {connectViewFeed} from '../../src/adapters/view-feed/index.js';
import {type Agent} from '../../src/programs/agent/_lib/start-agent.js';
import {startPlatformStandIn} from '../stand-ins/platform/index.js';
import {
	now, runAgent, startEngines, toConfigText, until,
} from './_lib/run-agents.js';

const zones = {a: 2, b: 2};
const closers: Array<() => Promise<void>> = [];

after(async () => {
	for (const close of closers.reverse()) {
		await close();
	}
});

/** Starts a platform, one engine of each role, and an agent on each of four hosts in two zones. */
async function startFleet() {
	const {engine, prefill, servers} = await startEngines();
	const toText = (rule: string) => toConfigText({zones, rule, servers});
	const platform = await startPlatformStandIn({config: toText('first'), fleet: {hosts: [], servers: []}});
	const first = await runAgent({hostId: 'a-1', zone: 'a', platformUrl: platform.url});
	const seeds = [`127.0.0.1:${first.peerPort}`];
	const start = async (hostId: string) => runAgent({
		hostId, zone: hostId[0]!, platformUrl: platform.url, seeds,
	});
	const agents = new Map<string, Agent>([['a-1', first]]);
	for (const hostId of ['a-2', 'b-1', 'b-2']) {
		agents.set(hostId, await start(hostId));
	}

	closers.push(engine.stop, prefill.stop, platform.stop, async () => {
		await Promise.all([...agents.values()].map(async agent => agent.stop()));
	});
	const all = () => [...agents.values()];
	await until('each agent sees all four hosts alive', () => all().every(agent => [...agent.view().hosts.values()].filter(({life}) => life === 'alive').length === 4));
	await until('each agent has a load report of decode-1', () => all().every(agent => agent.view().servers.get('decode-1')?.load !== undefined));
	return {
		engine, platform, agents, all, toText, seeds, start,
	};
}

function toRule(agent: Agent): string | undefined {
	return agent.view().accepted?.config.rules[0]?.name;
}

describe('agents', () => {
	it('spread configuration, loads and leaving states', async () => {
		const {engine, platform, all, toText} = await startFleet();
		const loadAges = all().map(agent => now() - agent.view().servers.get('decode-1')!.loadAt);
		assert.ok(loadAges.every(age => age >= 0 && age < 10_000), loadAges.join(' '));

		platform.publish('config', toText('second'));
		await until('each agent has the second document', () => all().every(agent => toRule(agent) === 'second'));
		platform.publishFleet({hosts: [{id: 'a-2', state: 'leaving', peerAddress: ''}], servers: []});
		await until('each agent sees host a-2 as leaving', () => all().every(agent => agent.view().hosts.get('a-2')!.leaving));
		assert.ok(all().every(agent => agent.view().platformConfirmedAt !== undefined));

		engine.setState('leaving');
		await until('each agent sees decode-1 as leaving, as its load report says', () => all().every(agent => agent.view().servers.get('decode-1')!.leaving));
		engine.setState('serving');
		await until('each agent sees decode-1 in service again', () => all().every(agent => !agent.view().servers.get('decode-1')!.leaving));
	});

	it('never go back to an older document of a stale platform: a restarted host learns the newer one from its peers', async () => {
		const {platform, agents, all, toText, start} = await startFleet();
		platform.publish('config', toText('second'));
		await until('each agent has the second document', () => all().every(agent => toRule(agent) === 'second'));
		platform.setFaults({oldRevision: 1});
		await agents.get('b-1')!.stop();
		await until('a-1 sees b-1 as left', () => agents.get('a-1')!.view().hosts.get('b-1')!.life === 'left');
		agents.set('b-1', await start('b-1'));
		const seen = new Set<string | undefined>();
		const end = now() + 5000;
		while (now() < end) {
			for (const agent of all()) {
				seen.add(toRule(agent));
			}

			await sleep(20);
		}

		assert.deepEqual([...seen].filter(rule => rule !== undefined), ['second']);
		assert.equal(toRule(agents.get('b-1')!), 'second');
	});

	it('release the holds of an entry that has ended, and keep those of a live one', async () => {
		const {engine, agents} = await startFleet();
		const client = createEngineHttp({server: {id: 'decode-1', url: engine.url}});
		const openEntry = async (host: string, incarnation: number) => {
			const hello: PeerHello = {
				host, zone: host[0]!, role: 'entry', incarnation,
			};
			const peers = await listenPeers({bind: '127.0.0.1', port: 0, hello});
			const feed = connectViewFeed({
				agentAddress: `127.0.0.1:${agents.get(host)!.peerPort}`, hello, entryAddress: `127.0.0.1:${peers.port}`, onView() {}, now, random: Math.random, // eslint-disable-line @typescript-eslint/no-empty-function -- the test does not use the view
			});
			return async () => {
				await Promise.all([feed.close(), peers.close()]);
			};
		};

		const closeDoomed = await openEntry('b-1', 500);
		const closeLiving = await openEntry('b-2', 600);
		closers.push(closeLiving);
		for (const [requestId, host, incarnation] of [['doomed', 'b-1', 500], ['living', 'b-2', 600]] as const) {
			const reserved = await client.reserve({requestId, attempt: 1, owner: {host, incarnation}}, {
				promptTokens: 10, maxTokens: 10, ttlMs: 30_000, class: 'batch',
			});
			assert.ok(reserved.isOk());
		}

		const held = async () => {
			const holds = await client.listHolds();
			return holds.unwrapOr([]).map(({requestId}) => requestId).sort();
		};

		await until('a-1 knows both entries', () => [['b-1', 500], ['b-2', 600]].every(([host, incarnation]) => agents.get('a-1')!.view().hosts.get(String(host))!.entryIncarnation === incarnation));
		assert.deepEqual(await held(), ['doomed', 'living']);
		await closeDoomed();
		await until('the reservation of the ended entry is released', async () => {
			const left = await held();
			return !left.includes('doomed');
		});
		assert.deepEqual(await held(), ['living']);
		const closeNext = await openEntry('b-1', 501);
		closers.push(closeNext);
		await sleep(1000);
		assert.deepEqual(await held(), ['living']);
	});

	it('show a host as leaving while its entry drains, until the next entry connects or the agent leaves', async () => {
		const {agents} = await startFleet();
		const seen = () => agents.get('a-1')!.view().hosts.get('b-2')!;
		const open = (incarnation: number) => connectViewFeed({
			agentAddress: `127.0.0.1:${agents.get('b-2')!.peerPort}`, hello: {
				host: 'b-2', zone: 'b', role: 'entry', incarnation,
			}, entryAddress: '127.0.0.1:7', onView() {}, now, random: Math.random, // eslint-disable-line @typescript-eslint/no-empty-function -- the test does not use the view
		});
		const draining = open(500);
		await until('a-1 knows the first entry of b-2', () => seen().entryIncarnation === 500);
		assert.equal(seen().leaving, false);
		draining.reportStopping();
		await until('a-1 sees b-2 as leaving', () => seen().leaving);
		assert.equal(seen().life, 'alive');
		await draining.close();
		const next = open(501);
		closers.push(next.close);
		await until('a-1 knows the next entry of b-2 and no longer sees b-2 as leaving', () => seen().entryIncarnation === 501 && !seen().leaving);
		next.reportStopping();
		await agents.get('b-2')!.stop();
		await until('a-1 sees b-2 as left', () => seen().life === 'left');
		agents.delete('b-2');
	});

	// An operator starts the replacement of a host that still runs. The two agents raise their incarnations in turns,
	// peers follow now the one, now the other, and nothing else tells operators why the host keeps changing.
	it('warn operators about another agent with the same host name, with both addresses, while both run', async () => {
		const {agents, start} = await startFleet();
		const older = agents.get('b-2')!;
		const newer = await start('b-2');
		const address = (agent: Agent) => `127.0.0.1:${agent.peerPort}`;
		await until('both agents of b-2 know the address of the other', () => older.twin() === address(newer) && newer.twin() === address(older));
		for (const agent of [older, newer]) {
			const [{reason, remedy}] = agent.warnings() as [{reason: string; remedy: string}];
			assert.ok(reason.includes(address(older)) && reason.includes(address(newer)), reason);
			assert.match(remedy, /--host-id/);
			assert.deepEqual(agent.notReadyReasons(), []);
		}

		await older.stop();
		agents.set('b-2', newer);
		await until('the newer agent of b-2 no longer warns', () => newer.twin() === undefined && newer.warnings().length === 0);
		await until('a-1 sees b-2 alive', () => agents.get('a-1')!.view().hosts.get('b-2')!.life === 'alive');
	});

	it('answer no call of an entry of another host', async () => {
		const {agents} = await startFleet();
		const connected = await connectPeer({
			address: `127.0.0.1:${agents.get('a-1')!.peerPort}`, hello: {
				host: 'b-1', zone: 'b', role: 'entry', incarnation: 1,
			},
		});
		const connection = connected._unsafeUnwrap();
		const reply = await connection.call('manifest', {kind: 'config'}, {timeoutMs: 2000});
		assert.equal(reply._unsafeUnwrapErr().kind, 'failed');
		connection.close();
	});

	// A paused agent resumes with a socket full of messages that peers sent before and
	// during the pause. If it took them as fresh, it would give orders based on a
	// confirmation of the platform that is as old as the pause was long.
	it('do not take messages as fresh that waited in a socket during a pause', async () => {
		const platform = await startPlatformStandIn({});
		platform.setFaults({down: true});
		let skew = 0;
		const clock = () => now() + skew;
		const agent = await runAgent({
			hostId: 'a-1', zone: 'a', platformUrl: platform.url, clock,
		});
		closers.push(platform.stop, agent.stop);
		const connected = await connectPeer({
			address: `127.0.0.1:${agent.peerPort}`, hello: {
				host: 'a-2', zone: 'a', role: 'agent', incarnation: 1,
			},
		});
		const peer = connected._unsafeUnwrap();
		const pausedAt = clock();
		skew = 60_000;
		peer.send('versions', {config: undefined, fleet: undefined, confirmedAgeMs: 0});
		await until('the agent has the confirmation of its peer', () => agent.view().platformConfirmedAt !== undefined);
		assert.ok(agent.view().platformConfirmedAt! < pausedAt + 10_000);
		peer.close();
	});
});
