/** A part of prompts under which each server ends that begins to write, in requests that are otherwise never alike. */
import assert from 'node:assert/strict';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Program} from '../_lib/start-program/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type ServerEnd} from '../stand-ins/users-platform/end-server.js';
import {type Arrival, type ServerStandIn} from '../stand-ins/users-platform/server.js';
import {startRelayProcesses, type RelayProcesses, type VersionedServer} from '../stand-ins/users-platform/start-relay-processes.js';
import {
	startRelayFixture, toStreamHeaders, type RelayCall, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';
import {countCrashes, publishRestarts} from './_lib/crash-servers.js';

/** Number of ended servers after which a part counts as one that ends servers. */
const ends = 5;

/** Time after the last of them within which all hosts must know the part. */
const spreadMs = 3000;

/** Requests with the part that may still reach servers. */
const maxLateRequests = 3;

/** Time between two requests with the part. */
const gapMs = 400;

/** Time within which a server that ends after its answer has ended. */
const endMs = 50;

const hosts = 3;

const hasPart = (part: string) => ({headers}: Pick<Arrival, 'headers'>): boolean => String(headers['prompt-prefix']).includes(`${part}:`);

let created = 0;

/** Creates a stream whose prompt has these parts and one of its own. */
function toStream(parts: readonly string[], headers: Record<string, string> = {}): RelayCall {
	const id = `own${++created}`;
	const prefix = [...parts, id].map(part => `${part}:200`).join(',');
	return {path: '/summary/1', body: id, headers: toStreamHeaders({'prompt-prefix': prefix, ...headers})};
}

const sound = ['first', 'usual'];

// Guards against a part of prompts that goes on ending servers, because only whole requests are remembered.
describe('hosts as processes, whose servers end under a part of prompts', {timeout: 180_000}, () => {
	let processes: RelayProcesses;
	let servers: VersionedServer[];

	before(async () => {
		processes = await startRelayProcesses({hosts});
		const ids = ['prefill1', 'prefill2', 'decode1', 'decode2', 'decode3', 'decode4'];
		servers = await Promise.all(ids.map(async id => processes.startServer(id, 'v1')));
		await processes.waitForServers();
	});
	after(async () => processes.stop());

	const countEnds = (): number => servers.reduce((sum, server) => sum + server.crashes(), 0);

	const countReached = (part: string): number => new Set(servers.flatMap(({arrivals}) => arrivals).filter(arrival => hasPart(part)(arrival)).map(({body}) => body)).size;

	const published = new Map<VersionedServer, string>();

	/** Publishes the new starts of servers that ended, and waits until the hosts know them. */
	async function publishStarts(): Promise<void> {
		for (const server of servers) {
			const before = published.get(server);
			if (before !== undefined && before !== server.id) {
				processes.store.remove(`servers/${before}`);
			}

			published.set(server, server.id);
			processes.publish(server);
		}

		const isKnown = (host: Program, id: string) => host.logs().some(({message, server}) => message === 'server changed' && server === id);
		await waitUntil(() => processes.hosts().every(host => servers.every(({id}) => isKnown(host, id))), {deadlineMs: spreadMs, what: 'the hosts to know the restarted servers'});
	}

	/** Sends a sound stream to each host; returns how many were answered whole. */
	async function countServed(): Promise<number> {
		const answers = await Promise.all(Array.from({length: hosts}, async (_, at) => processes.ask({...toStream(sound), at})));
		return answers.filter(({status, isWhole}) => status === 200 && isWhole).length;
	}

	it('send at most three more requests with the part to servers, and go on to serve those that share other parts', async t => {
		for (const server of servers) {
			server.crashOn(hasPart('fatal'));
		}

		await publishStarts();
		for (let sent = 0; countEnds() < ends && sent < 10 * ends; sent++) {
			await processes.ask({...toStream(['first', 'fatal', 'usual']), at: sent % hosts});
			await publishStarts();
			await countServed();
			await sleep(gapMs);
		}

		await sleep(spreadMs);
		const reachedBefore = countReached('fatal');
		const statuses: number[] = [];
		let served = 0;
		for (let n = 0; n < 4 * hosts; n++) {
			const answer = await processes.ask({...toStream(['first', 'fatal', 'usual']), at: n % hosts});
			statuses.push(answer.status);
			await publishStarts();
			served += await countServed();
		}

		const late = countReached('fatal') - reachedBefore;
		t.diagnostic(`${countEnds()} servers ended, ${late} of them late; ${served} of ${4 * hosts * hosts} sound requests served`);
		assert.ok(late <= maxLateRequests, `${late} requests with the part reached servers`);
		assert.deepEqual(statuses.slice(maxLateRequests).filter(status => status !== 503), []);
		assert.ok(served >= 2 * hosts * hosts, `${served} sound requests were served`);
	});
});

const ways = ['closes', 'silent', 'once-left', 'resets in chunks', 'falls silent in chunks', 'closes without a length'] as const satisfies readonly ServerEnd[];

// Guards against ends of servers under a part of prompts that are not counted.
describe('relay: a part of prompts that has ended five servers reaches at most three more', () => {
	let fixture: RelayFixture;

	before(async () => {
		fixture = await startRelayFixture({hosts: 2});
	});
	after(async () => fixture.stop());

	const allServers = (): ServerStandIn[] => Object.values(fixture.servers);

	for (const way of ways) {
		it(`however they end: ${way}`, async () => {
			const part = `fatal-${way.replaceAll(' ', '-')}`;
			const toFatal = () => toStream(['first', part], {'deadline-ms': '700'});
			for (const server of allServers()) {
				server.crashOn(hasPart(part), way);
			}

			const endsBefore = countCrashes(fixture);
			for (let sent = 0; countCrashes(fixture) < endsBefore + ends && sent < 3 * ends; sent++) {
				await fixture.ask({...toFatal(), at: sent % 2});
				await sleep(endMs);
				await publishRestarts(fixture, 2);
			}

			assert.ok(countCrashes(fixture) > endsBefore);
			await sleep(spreadMs);
			const reached = () => new Set(allServers().flatMap(({arrivals}) => arrivals).filter(arrival => hasPart(part)(arrival)).map(({body}) => body)).size;
			const reachedBefore = reached();
			for (let n = 0; n < 2 * maxLateRequests; n++) {
				await fixture.ask({...toFatal(), at: n % 2});
				await sleep(gapMs);
			}

			assert.ok(reached() - reachedBefore <= maxLateRequests, `${reached() - reachedBefore} requests reached servers`);
			const {status, isWhole} = await fixture.askUntil(toStream(['first']), 200);
			assert.deepEqual({status, isWhole}, {status: 200, isWhole: true});
		});
	}
});

// Guards against requests that are refused although none of their parts ends servers.
describe('relay: requests are served', () => {
	let fixture: RelayFixture;

	afterEach(async () => fixture.stop());

	it('although servers that live on broke off many that share their parts', async () => {
		fixture = await startRelayFixture({hosts: 2});
		for (let n = 0; n < 12; n++) {
			fixture.servers.decode1.addFaults('reset');
			await fixture.ask({...toStream(sound), at: n % 2});
		}

		fixture.servers.decode1.clearFaults();
		const answers = await Promise.all([0, 1].map(async at => fixture.ask({...toStream(sound), at})));
		assert.deepEqual(answers.map(({status, isWhole}) => ({status, isWhole})), [{status: 200, isWhole: true}, {status: 200, isWhole: true}]);
	});
});
