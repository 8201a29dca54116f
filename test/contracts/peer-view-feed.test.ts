import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createEngineHttp} from '../../src/adapters/engine-http/index.js';
import {createLog} from '../../src/adapters/log/index.js';
import {listenPeers, type PeerConnection, type PeerHello} from '../../src/adapters/peer-tcp/index.js';
import {createPlatformHttp} from '../../src/adapters/platform-http/index.js';
import {
	connectViewFeed, createViewPublisher, feedEvents, type FeedPing, type ViewFeed,
} from '../../src/adapters/view-feed/index.js';
import {startAgent} from '../../src/programs/agent/_lib/start-agent.js';
import {type FleetView} from '../../src/ports/view.js';
import {startEngineStandIn} from '../stand-ins/engine/index.js';
import {startPlatformStandIn} from '../stand-ins/platform/index.js';

const deadlineMs = 10_000;
const now = () => performance.now();
const agentHello: PeerHello = {
	host: 'dvorana-a-1', zone: 'dvorana-a', role: 'agent', incarnation: 1,
};
const hello: PeerHello = {...agentHello, role: 'entry', incarnation: 2};
const closers: Array<() => Promise<void>> = [];

after(async () => {
	for (const close of closers.reverse()) {
		await close();
	}
});

async function until(what: string, isTrue: () => boolean) {
	const end = now() + deadlineMs;
	while (!isTrue()) {
		assert.ok(now() < end, `timed out after ${deadlineMs} ms while waiting for: ${what}`);
		await sleep(10);
	}
}

function toConfigText(url: string, rule = 'all'): string {
	return [
		'zones: [{id: dvorana-a, region: si-central}]',
		'hosts: [{id: dvorana-a-1, zone: dvorana-a}]',
		'pools: [{name: letters, model: summary, version: "1", classes: [quick, batch]}]',
		'servers:',
		`  - {id: decode-1, zone: dvorana-a, url: '${url}', role: decode, pool: letters, slots: 20}`,
		'  - {id: prefill-1, zone: dvorana-a, url: \'http://127.0.0.1:9\', role: prefill, pool: letters, slots: 2}',
		'rules:',
		`  - {name: ${rule}, then: {pool: letters, class: batch, repeatable: false, target: {firstToken: 2s, perToken: 100ms, complete: 1m}}}`,
		'weightStoreBytesPerSecond: 300MB',
		'end: banyanport',
		'',
	].join('\n');
}

function feed(agentAddress: string, views: FleetView[] = [], clock = now): ViewFeed {
	const opened = connectViewFeed({
		agentAddress, hello, entryAddress: '127.0.0.1:7', now: clock, random: Math.random, onView(view) {
			views.push(view);
		},
	});
	closers.push(opened.close);
	return opened;
}

describe('connectViewFeed', () => {
	it('sends configuration, loads, leaving states and ages from platform and engines to the entry', async () => {
		const engine = await startEngineStandIn({id: 'decode-1', role: 'decode', model: 'summary'});
		const platform = await startPlatformStandIn({config: toConfigText(engine.url), fleet: {hosts: [], servers: []}});
		const log = createLog({
			level: 'error', program: 'test', host: 'dvorana-a-1', zone: 'dvorana-a', incarnation: 1, sink: new Writable({
				write(_chunk, _encoding, done) {
					done();
				},
			}),
		});
		const agent = await startAgent({
			settings: {
				hostId: 'dvorana-a-1',
				zone: 'dvorana-a',
				bind: '127.0.0.1',
				peerPort: 0,
				seeds: [],
				platformWait: 1000,
				loadPollInterval: 50,
				heartbeatInterval: 1000,
				suspectAfter: 2000,
				deadAfter: 4000,
			},
			clock: {now, wallNow: () => Date.now()},
			random: Math.random,
			platform: createPlatformHttp({url: platform.url}),
			toEngine: server => createEngineHttp({server}),
			log,
		});
		closers.push(engine.stop, platform.stop, agent.stop);

		const views: FleetView[] = [];
		const entry = feed(`127.0.0.1:${agent.peerPort}`, views);
		await until('the entry has a load report of decode-1', () => entry.view().servers.get('decode-1')?.load !== undefined);
		const {accepted, servers, platformConfirmedAt} = entry.view();
		assert.equal(accepted?.config.rules[0]?.name, 'all');
		assert.ok(platformConfirmedAt !== undefined && platformConfirmedAt <= now());
		assert.ok(servers.get('decode-1')!.loadAt <= now());
		await until('the entry sees prefill-1 as unreachable', () => entry.view().servers.get('prefill-1')?.reachable === false);

		platform.publish('config', toConfigText(engine.url, 'changed'));
		await until('the entry has the changed document', () => entry.view().accepted?.config.rules[0]?.name === 'changed');
		platform.publishFleet({hosts: [], servers: [{id: 'decode-1', state: 'leaving'}]});
		await until('the entry sees decode-1 as leaving, as the platform says', () => entry.view().servers.get('decode-1')?.leaving === true);
		entry.reportLeaving('prefill-1');
		await until('the entry sees prefill-1 as leaving, as it reported itself', () => entry.view().servers.get('prefill-1')?.leaving === true);

		await agent.stop();
		await until('the entry sees that its agent has disconnected', () => !entry.isConnected());
		assert.equal(entry.view().accepted?.config.rules[0]?.name, 'changed');
	});

	it('computes ages from its own echoed clock, so that an update that was delayed counts as old', async () => {
		const publisher = createViewPublisher();
		let pinged: PeerConnection | undefined;
		const listener = await listenPeers({
			bind: '127.0.0.1',
			port: 0,
			hello: agentHello,
			onConnect: publisher.add,
			onEvent(_peer, name, body, connection) {
				assert.equal(name, feedEvents.ping);
				publisher.notePing(connection, body as FeedPing, 5000);
				pinged = connection;
			},
		});
		closers.push(listener.close);
		let clock = 100;
		const views: FleetView[] = [];
		feed(`127.0.0.1:${listener.port}`, views, () => clock);
		await until('the publisher has a ping of the entry', () => pinged !== undefined);
		clock = 60_000;
		publisher.publish({
			accepted: undefined, hosts: new Map(), servers: new Map(), platformConfirmedAt: 4990, receivedAt: 5000,
		}, 0, 5003);
		await until('the entry has an update', () => views.length > 0);
		assert.deepEqual([views[0]!.receivedAt, views[0]!.platformConfirmedAt], [103, 90]);
	});
});
