/** Callers who leave before their host has read their requests, or while a partition holds up what it sends. */
import assert from 'node:assert/strict';
import {
	after, afterEach, before, beforeEach, describe, it, type TestContext,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {toPassedHeaders} from '../../src/programs/entry/_lib/passed-headers.js';
import {type Program} from '../_lib/start-program/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {startHoldingLink, type HoldingLink} from '../stand-ins/holding-link/index.js';
import {toStreamHeaders} from '../stand-ins/users-platform/start-relay-fixture.js';
import {startRelayProcesses, type RelayProcesses, type VersionedServer} from '../stand-ins/users-platform/start-relay-processes.js';
import {findBuild} from './_lib/find-build.js';
import {
	leaveAfterMs, openConnections, sendAndLeave, warmUp, type Leaving, type LeavingCall,
} from './_lib/leaving-callers.js';

/** Time for which a host reads nothing; over half a second longer than callers stay. */
const standstillMs = 1800;

/** Time after a close from which no call for its caller may reach a server. */
const lateMs = 500;

/** Time in which a host has decided about all that it read late. */
const settleMs = 1500;

const deadlineMs = 20_000;

const hostIp = '127.0.0.1';

const blockOnSignal = new URL('../_lib/block-on-signal/index.js', import.meta.url).href;

const lookup: LeavingCall = {
	method: 'POST', path: '/lookup/1', headers: {'deadline-ms': '4000'}, body: 'lookup',
};
const check: LeavingCall = {method: 'GET', path: '/check/1', headers: {'deadline-ms': '4000'}};
const stream: LeavingCall = {
	method: 'POST', path: '/summary/1', headers: toStreamHeaders(), body: 'prompt',
};

const passedStream: LeavingCall = {
	...stream,
	headers: {
		...stream.headers,
		...toPassedHeaders({
			deadlineInMs: 4000, edition: 1, runs: 0, stream: {origin: undefined},
		}),
	},
};

const serverIds = ['desk1', 'desk2', 'prefill1', 'prefill2', 'decode1', 'decode2'];

let processes: RelayProcesses;
let servers: readonly VersionedServer[];

/** Counts the calls that reached servers after a moment, but for those that give back what was taken. */
function countArrivals(after = -Infinity): number {
	return servers
		.flatMap(({arrivals}) => arrivals)
		.filter(({step, arrivedAt}) => step !== 'release' && step !== 'drop-cache' && arrivedAt > after)
		.length;
}

async function startHosts(hosts: number): Promise<void> {
	processes = await startRelayProcesses({hosts, build: findBuild, nodeOptions: ['--import', blockOnSignal]});
	servers = await Promise.all(serverIds.map(async id => processes.startServer(id, 'v1')));
	await processes.waitForServers();
}

type Standstill = (host: Program) => Promise<void>;

/** Each way in which a host reads nothing for a time. */
const standstills: Readonly<Record<string, Standstill>> = {
	async 'stood still'(host) {
		host.pause();
		await sleep(standstillMs);
		host.resume();
	},
	async 'was kept busy by its own work'(host) {
		host.signal('SIGUSR2');
		await sleep(standstillMs);
	},
};

type Scene = {
	callers: number;
	call: LeavingCall;
	leaving: Leaving;
	isKept?: boolean;
	/** Whether the callers are another host, which passes requests on. */
	isPassedOn?: boolean;
};

/** Lets callers send and leave while the host reads nothing; returns the number of calls that reached servers later than they may. */
async function countSentOn(t: TestContext, standStill: Standstill, {callers, call, leaving, isKept = false, isPassedOn = false}: Scene): Promise<number> {
	const [host] = processes.hosts() as [Program];
	const address = {ip: hostIp, port: isPassedOn ? processes.peerPort : host.port('callerPort')};
	const opened = isKept ? await openConnections(address, callers) : [];
	await warmUp(opened, call);
	const standing = standStill(host);
	// The signal takes effect.
	await sleep(leaveAfterMs / 3);
	const sockets = isKept ? opened : await openConnections(address, callers);
	await sendAndLeave(sockets, call, leaving);
	const lateFrom = performance.now() + lateMs;
	await standing;
	await sleep(settleMs);
	const sentOn = countArrivals(lateFrom);
	t.diagnostic(`${sentOn} calls for ${callers} requests reached servers`);
	return sentOn;
}

const scenes: Readonly<Record<string, Scene>> = {
	'60 lookups on new connections, closed in order': {callers: 60, call: lookup, leaving: 'in order'},
	'400 lookups on new connections, closed in order': {callers: 400, call: lookup, leaving: 'in order'},
	'400 lookups on new connections, reset': {callers: 400, call: lookup, leaving: 'by a reset'},
	'100 lookups on kept connections, closed in order': {
		callers: 100, call: lookup, leaving: 'in order', isKept: true,
	},
	'100 lookups on kept connections, reset': {
		callers: 100, call: lookup, leaving: 'by a reset', isKept: true,
	},
	'60 checks on new connections, closed in order': {callers: 60, call: check, leaving: 'in order'},
	'60 streams on new connections, closed in order': {callers: 60, call: stream, leaving: 'in order'},
	'60 streams on kept connections, closed in order': {
		callers: 60, call: stream, leaving: 'in order', isKept: true,
	},
};

const scenesOfSeveral: Readonly<Record<string, Scene>> = {
	'60 streams, closed in order': {callers: 60, call: stream, leaving: 'in order'},
	'60 streams that another host passed on, closed in order': {
		callers: 60, call: passedStream, leaving: 'in order', isPassedOn: true,
	},
	'60 streams that another host passed on, reset': {
		callers: 60, call: passedStream, leaving: 'by a reset', isPassedOn: true,
	},
};

// Guards against servers that work for callers who left before their host had read the request.
describe('a host that reads late what its callers sent', {timeout: 180_000}, () => {
	before(async () => startHosts(1));
	after(async () => processes.stop());

	for (const [cause, standStill] of Object.entries(standstills)) {
		for (const [what, scene] of Object.entries(scenes)) {
			it(`and ${cause} sends none on whose callers have left: ${what}`, async t => {
				assert.equal(await countSentOn(t, standStill, scene), 0);
			});
		}
	}

	it('serves those who still wait', async () => {
		const [host] = processes.hosts() as [Program];
		host.pause();
		const asked = Array.from({length: 20}, async () => processes.ask({path: '/check/1', method: 'GET', headers: {'deadline-ms': '10000'}}));
		await sleep(standstillMs);
		host.resume();
		const answers = await Promise.all(asked);
		assert.deepEqual(answers.map(({status}) => status), Array.from({length: 20}, () => 200));
	});
});

// Guards against servers that work for callers of another host, whose close both have read late.
describe('one of several hosts that reads late what it was sent', {timeout: 120_000}, () => {
	before(async () => startHosts(2));
	after(async () => processes.stop());

	for (const [cause, standStill] of Object.entries(standstills)) {
		for (const [what, scene] of Object.entries(scenesOfSeveral)) {
			it(`and ${cause} sends none on whose callers have left: ${what}`, async t => {
				assert.equal(await countSentOn(t, standStill, scene), 0);
			});
		}
	}
});

// Guards against a partition that delivers calls to servers when it heals, although this host has given them up.
describe('a host whose link to its servers holds bytes up', {timeout: 120_000}, () => {
	let links: readonly HoldingLink[];
	const desks = () => servers.filter(({stage}) => stage === undefined);
	beforeEach(async () => {
		await startHosts(1);
		links = await Promise.all(desks().map(async ({address}) => startHoldingLink(address)));
		for (const [i, desk] of desks().entries()) {
			processes.publish(desk, {address: links[i]!.address, sequence: 2});
		}

		// The host uses the links once its calls no longer go to the servers' own addresses.
		await sleep(settleMs);
	});
	afterEach(async () => {
		await Promise.all(links.map(async link => link.stop()));
		await processes.stop();
	});

	it('has nothing delivered for callers who have left when the link heals', async t => {
		const [host] = processes.hosts() as [Program];
		const address = {ip: hostIp, port: host.port('callerPort')};
		const callers = await openConnections(address, 20);
		await warmUp(callers, lookup);
		await waitUntil(() => countArrivals() >= callers.length, {deadlineMs, what: 'the first lookups'});
		for (const link of links) {
			link.hold();
		}

		const arrivedBefore = countArrivals();
		await sendAndLeave(callers, lookup, 'in order');
		await sleep(settleMs);
		for (const link of links) {
			link.heal();
		}

		await sleep(settleMs);
		const delivered = countArrivals() - arrivedBefore;
		t.diagnostic(`${delivered} calls for ${callers.length} requests reached servers`);
		assert.equal(delivered, 0);
	});
});
