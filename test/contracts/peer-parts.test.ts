/** Tests of documents in parts between the platform, the agents and the entry. */
import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {listenPeers, type PeerConnection, type PeerHello} from '../../src/adapters/peer-tcp/index.js';
import {
	connectViewFeed, createViewPublisher, feedEvents, type FeedPing, type FeedUpdate,
} from '../../src/adapters/view-feed/index.js';
import {findAmong} from '../../src/domain/_test/to-part-document.js';
import {toFleetConfig} from '../../src/domain/_test/to-fleet-config.js';
import {parseConfig} from '../../src/domain/parse-config/index.js';
import {sealParts, type SealedParts} from '../../src/domain/seal-parts/index.js';
import {splitConfig} from '../../src/domain/split-config/index.js';
import {toConfigText} from '../../src/domain/to-config-text/index.js';
import {toPartKey} from '../../src/domain/to-part-key/index.js';
import {type AcceptedConfig} from '../../src/ports/config.js';
import {type FleetView} from '../../src/ports/view.js';
import {type Agent} from '../../src/programs/agent/_lib/start-agent.js';
import {startPlatformStandIn, type PlatformStandIn} from '../stand-ins/platform/index.js';
import {now, runAgent, until} from './_lib/run-agents.js';

const whole = toConfigText(toFleetConfig(2000, 900)).replace('10.0.0.1:80', '127.0.0.1:9').replace('10.0.0.2:80', '127.0.0.1:10');
const source = splitConfig(whole, (_, position) => position % 100 === 0)._unsafeUnwrap();
const texts = new Map(source.parts.map(({name, text}) => [name, text]));
/** Time within which a change of the configuration has to be in force. */
const inForceBoundMs = 10_000;
/** Number of hosts of a zone that read the platform while it answers. */
const readersOfZone = 2;
const closers: Array<() => Promise<void>> = [];

after(async () => {
	for (const close of closers.reverse()) {
		await close();
	}
});

/** Seals the next edition, with one rule renamed and therefore one part changed. */
function toEdition(previous: SealedParts | undefined, renamed: string): SealedParts {
	const find = (name: string) => name === 'rules-003' ? texts.get(name)!.replace('"r205"', `"${renamed}"`) : texts.get(name);
	return sealParts(source.root, find, previous?.text)._unsafeUnwrap();
}

function toChanged(next: SealedParts, before: SealedParts) {
	return next.parts.filter(({sha256}) => !before.parts.some(part => part.sha256 === sha256));
}

function publish(platform: PlatformStandIn, {text, parts}: SealedParts): void {
	for (const part of parts) {
		if (!(toPartKey(part) in platform.judge().revisions)) {
			platform.publish(toPartKey(part), part.text);
		}
	}

	platform.publish('config', text);
}

const toEditionOf = (agent: Agent) => agent.view().accepted?.version.edition;

/** Waits until no more parts are read: an agent that got a document from a peer may still have a read of the platform in flight. */
async function waitForLastReads(platform: PlatformStandIn): Promise<void> {
	const toReads = () => Object.entries(platform.judge().readsByKey).filter(([key]) => key.startsWith('config.')).map(([, count]) => count).join(' ');
	let last = '';
	await until('no agent reads parts of the document any more', async () => {
		const before = last;
		await sleep(500);
		last = toReads();
		return last === before;
	});
}

/** Starts a platform and six agents of one zone, two of which read the platform. */
async function startZone() {
	const platform = await startPlatformStandIn({fleet: {hosts: [], servers: []}});
	const first = toEdition(undefined, 'first');
	publish(platform, first);
	const start = async (hostId: string, seeds: readonly string[]) => {
		const agent = await runAgent({
			hostId, zone: 'a', platformUrl: platform.url, seeds,
		});
		closers.push(agent.stop);
		return agent;
	};

	const agents = [await start('a-1', [])];
	const seeds = [`127.0.0.1:${agents[0]!.peerPort}`];
	for (const hostId of ['a-2', 'a-3', 'a-4', 'a-5', 'a-6']) {
		agents.push(await start(hostId, seeds));
	}

	closers.push(platform.stop);
	await until('each agent sees all six hosts alive', () => agents.every(agent => [...agent.view().hosts.values()].filter(({life}) => life === 'alive').length === 6));
	await until('each agent has the first edition', () => agents.every(agent => toEditionOf(agent) === 1));
	return {
		platform, agents, first, seeds, start,
	};
}

describe('a document in parts', () => {
	it('comes into force on all hosts, and after a change only the changed part is read from the platform', async () => {
		const {platform, agents, first} = await startZone();
		const second = toEdition(first, 'second');
		await waitForLastReads(platform);
		const before = platform.judge();
		publish(platform, second);
		await until('each agent has the second edition', () => agents.every(agent => toEditionOf(agent) === 2));
		const [changed] = toChanged(second, first);
		const expected = parseConfig(second.text, {findPart: findAmong(second.parts)})._unsafeUnwrap();
		for (const agent of agents) {
			assert.deepEqual(agent.view().accepted!.config, expected);
		}

		const after = platform.judge().readsByKey;
		const read = Object.keys(after).filter(key => key.startsWith('config.') && after[key] !== before.readsByKey[key]);
		assert.deepEqual(read, [toPartKey(changed!)]);
		assert.ok(after[read[0]!]! <= readersOfZone, `${after[read[0]!]} reads of the part`);
	});

	it('stays in force while a part of the next edition is missing, shows the missing part in a notice, and is replaced once the part is published', async () => {
		const {platform, agents, first} = await startZone();
		const second = toEdition(first, 'second');
		const [changed] = toChanged(second, first);
		const revision = platform.publish('config', second.text);
		const told = () => agents.filter(agent => agent.notices().refused?.revision === revision);
		await until('an agent shows that the second edition was refused', () => told().length > 0);
		const {kind, reason} = told()[0]!.notices().refused!;
		assert.equal(kind, 'parts-missing');
		assert.ok(reason.includes(`rules-003 under ${toPartKey(changed!)}`), reason);
		assert.ok(agents.every(agent => toEditionOf(agent) === 1));

		platform.publish(toPartKey(changed!), changed!.text.slice(0, -30));
		await sleep(2500);
		assert.ok(agents.every(agent => toEditionOf(agent) === 1));

		platform.publish(toPartKey(changed!), changed!.text);
		await until('each agent has the second edition', () => agents.every(agent => toEditionOf(agent) === 2));
		assert.ok(agents.every(agent => agent.notices().refused === undefined));
	});

	it('is replaced by a later complete edition when parts of an edition in between are never published', async () => {
		const {platform, agents, first} = await startZone();
		const second = toEdition(first, 'second');
		platform.publish('config', second.text);
		const third = toEdition(second, 'third');
		publish(platform, third);
		await until('each agent has the third edition', () => agents.every(agent => toEditionOf(agent) === 3));
	});

	it('reaches a new host from its peers while the platform is down or has lost a part', async () => {
		const {platform, agents, first, seeds, start} = await startZone();
		platform.publish(toPartKey(first.parts[2]!), 'lost');
		const late = await start('a-7', seeds);
		await until('a-7 has the first edition', () => toEditionOf(late) === 1);
		platform.setFaults({down: true});
		const later = await start('a-8', seeds);
		await until('a-8 has the first edition', () => toEditionOf(later) === 1);
		assert.deepEqual(later.view().accepted!.config, agents[0]!.view().accepted!.config);
	});

	// Guards against a host that serves nobody for half a minute because it reads a first document of many parts slowly.
	it('comes into force within 10 s on a host that has no other hosts', async () => {
		const many = splitConfig(whole, (_, position) => position % 33 === 0)._unsafeUnwrap();
		const partTexts = new Map(many.parts.map(({name, text}) => [name, text]));
		const document = sealParts(many.root, name => partTexts.get(name), undefined)._unsafeUnwrap();
		assert.ok(document.parts.length >= 60);
		const platform = await startPlatformStandIn({fleet: {hosts: [], servers: []}});
		publish(platform, document);
		const startedAt = now();
		const agent = await runAgent({hostId: 'a-1', zone: 'a', platformUrl: platform.url});
		closers.push(platform.stop, agent.stop);
		await until('the agent has the first edition', () => toEditionOf(agent) === 1);
		const tookMs = now() - startedAt;
		assert.ok(tookMs <= inForceBoundMs, `${Math.round(tookMs)} ms`);
	});

	it('reaches the entry, also after a change of one part, and reaches a restarted agent from its entry', async () => {
		const platform = await startPlatformStandIn({fleet: {hosts: [], servers: []}});
		const first = toEdition(undefined, 'first');
		const second = toEdition(first, 'second');
		publish(platform, first);
		const settings = {hostId: 'a-1', zone: 'a', platformUrl: platform.url};
		const agent = await runAgent(settings);
		const hello: PeerHello = {
			host: 'a-1', zone: 'a', role: 'entry', incarnation: 7,
		};
		const entry = connectViewFeed({
			agentAddress: `127.0.0.1:${agent.peerPort}`, hello, entryAddress: '127.0.0.1:7', onView() {}, now, random: Math.random, // eslint-disable-line @typescript-eslint/no-empty-function -- the test reads the view from the feed
		});
		closers.push(platform.stop, entry.close);
		await until('the entry has the first edition', () => entry.view().accepted?.version.edition === 1);
		publish(platform, second);
		await until('the entry has the second edition', () => entry.view().accepted?.version.edition === 2);
		assert.deepEqual(entry.view().accepted, agent.view().accepted);
		await agent.stop();

		platform.setFaults({down: true});
		const restarted = await runAgent({...settings, peerPort: agent.peerPort});
		closers.push(restarted.stop);
		await until('the restarted agent has the second edition from its entry', () => toEditionOf(restarted) === 2);
		assert.deepEqual(restarted.view().accepted!.parts, second.parts);
	});
});

describe('createViewPublisher with a document in parts', () => {
	const editions = [toEdition(undefined, 'first')];
	editions.push(toEdition(editions[0], 'second'), toEdition(editions[0], 'third'));

	function toView(edition: SealedParts): FleetView {
		const {text, parts} = edition;
		const accepted: AcceptedConfig = {
			version: {edition: edition.edition, revision: editions.indexOf(edition), digest: edition.digest}, config: parseConfig(text, {findPart: findAmong(parts)})._unsafeUnwrap(), text, parts,
		};
		return {
			accepted, hosts: new Map(), servers: new Map(), platformConfirmedAt: undefined, receivedAt: 0,
		};
	}

	/** Creates a publisher with one connection that only records its updates. */
	function subscribe() {
		const updates: FeedUpdate[] = [];
		const connection = {
			closed: new Promise<string>(() => {}), // eslint-disable-line @typescript-eslint/no-empty-function -- the connection stays open
			send(_name: string, body: unknown) {
				updates.push(body as FeedUpdate);
				return true;
			},
		} as unknown as PeerConnection;
		const publisher = createViewPublisher();
		publisher.add(connection);
		const ping = (edition: SealedParts | undefined) => {
			publisher.notePing(connection, {
				at: 1, entryAddress: '', incarnation: 1, configVersion: edition && {edition: edition.edition, revision: 1, digest: edition.digest},
			}, 1);
		};

		return {publisher, ping, toSent: () => updates.at(-1)!.config?.parts?.length};
	}

	const [first, second, third] = editions as [SealedParts, SealedParts, SealedParts];
	const all = first.parts.length;

	it('sends all parts until the entry confirms an edition, and from then on the changed parts', () => {
		const {publisher, ping, toSent} = subscribe();
		ping(undefined);
		const sent = [first, second].map(edition => {
			publisher.publish(toView(edition), 0, 1);
			return toSent();
		});
		ping(second);
		publisher.publish(toView(third), 0, 2);
		assert.deepEqual([...sent, toSent()], [all, all, 1]);
	});

	it('sends a part again that an edition in between did not have, and one that the entry may have refused', () => {
		const {publisher, ping, toSent} = subscribe();
		ping(undefined);
		publisher.publish(toView(first), 0, 1);
		ping(first);
		publisher.publish(toView(second), 0, 2);
		// The entry has not confirmed the second edition, so it may still use the first.
		publisher.publish(toView(third), 0, 3);
		assert.equal(toSent(), 1);
		publisher.publish(toView(first), 0, 4);
		assert.equal(toSent(), 1);
	});

	it('sends all parts to an entry that reconnects because it lacks a part', async () => {
		const publisher = createViewPublisher();
		const connections: PeerConnection[] = [];
		const view = toView(first);
		const listener = await listenPeers({
			bind: '127.0.0.1',
			port: 0,
			hello: {
				host: 'a-1', zone: 'a', role: 'agent', incarnation: 1,
			},
			onConnect: publisher.add,
			onEvent(_peer, _name, body, connection) {
				publisher.notePing(connection, body as FeedPing, 1);
				if (connections.length > 0) {
					publisher.publish(view, 0, 1);
				} else {
					// Sends no parts, as if the entry had all of them already.
					connection.send(feedEvents.update, {
						echoAt: 0,
						echoAgeMs: 0,
						whole: false,
						config: {version: view.accepted!.version, text: first.text, parts: []},
						hosts: [],
						hostsGone: [],
						servers: [],
						serversGone: [],
						confirmedAgeMs: undefined,
						incarnationFloor: 0,
					} satisfies FeedUpdate);
				}

				connections.push(connection);
			},
		});
		const entry = connectViewFeed({
			agentAddress: `127.0.0.1:${listener.port}`, hello: {
				host: 'a-1', zone: 'a', role: 'entry', incarnation: 2,
			}, entryAddress: '127.0.0.1:7', onView() {}, now, random: Math.random, // eslint-disable-line @typescript-eslint/no-empty-function -- the test reads the view from the feed
		});
		closers.push(listener.close, entry.close);
		await until('the entry has the complete document', () => entry.view().accepted?.version.digest === first.digest);
		assert.equal(new Set(connections).size, 2);
	});
});
