/*
 * Guards against healthy hosts that are declared dead, and against callers of other
 * hosts that are refused. A host is paused, a link is cut one way or flaps, a zone
 * is cut off, all agents restart, or a host leaves. The other hosts suspect a
 * silent host, declare it dead only if no host can reach it, and consider it alive
 * again soon after it runs and is connected.
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	after, afterEach, before, describe, it, type TestContext,
} from 'node:test';
import {type HostLife} from '../../src/ports/view.js';
import {startFleet, type Fleet, type FleetHost} from '../_lib/start-fleet/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {startCall, type CallResult} from './_lib/start-call.js';

const deadlineMs = 40_000;
const pollIntervalMs = 100;
const askIntervalMs = 200;
const near = 'dvorana-a';
const far = 'dvorana-b';
/** Silence after which the hosts of this test declare another one dead. */
const deadAfterMs = 3000;
const faultDurationMs = 2 * deadAfterMs;
const flapIntervalMs = 400;

type LifeChange = {by: string; of: string; life: HostLife; atMs: number};

async function readLives(host: FleetHost): Promise<Array<{id: string; life: HostLife}>> {
	try {
		const answer = await fetch(`${host.agentOperatorUrl}/status`, {signal: AbortSignal.timeout(1000)});
		const {hosts} = await answer.json() as {hosts: Array<{id: string; life: HostLife}>};
		return hosts;
	} catch {
		return [];
	}
}

/** Records every change of the state in which each host sees each other one. */
function watchLives(hosts: readonly FleetHost[]) {
	const seen: LifeChange[] = [];
	const latest = new Map<string, HostLife>();
	let hasEnded = false;
	const isOver = () => hasEnded;
	const recordChanges = async (host: FleetHost): Promise<void> => {
		for (const {id, life} of await readLives(host)) {
			const key = `${host.id} ${id}`;
			if (latest.get(key) !== life) {
				latest.set(key, life);
				seen.push({
					by: host.id, of: id, life, atMs: performance.now(),
				});
			}
		}
	};

	const watches = hosts.map(async host => {
		while (!isOver()) {
			await recordChanges(host);
			await sleep(pollIntervalMs);
		}
	});
	return {
		since: (atMs: number) => seen.filter(change => change.atMs >= atMs),
		async end() {
			hasEnded = true;
			await Promise.all(watches);
		},
	};
}

/** Starts sending quick requests to hosts that the fault doesn't affect. */
function startAsking(hosts: readonly FleetHost[]) {
	const calls: Array<Promise<CallResult>> = [];
	let hasEnded = false;
	const isOver = () => hasEnded;
	const done = (async () => {
		for (let i = 0; !isOver(); i++) {
			const {callerUrl} = hosts[i % hosts.length]!;
			calls.push(startCall(callerUrl, {prompt: `question ${i}`, maxTokens: 4, isQuick: true}).done);
			await sleep(askIntervalMs);
		}
	})();
	return {
		async end(): Promise<CallResult[]> {
			hasEnded = true;
			await done;
			return Promise.all(calls);
		},
	};
}

type Case = {
	name: string;
	/** Hosts that the others can't hear during the fault; callers send to the remaining ones. */
	silencedHosts: readonly string[];
	/** State in which the others must come to see the silenced hosts. A zone that falls silent as a whole counts as cut off, so its hosts are only suspected. */
	expectedLife?: 'suspect' | 'dead';
	run: (fleet: Fleet, waitUntilFound: () => Promise<void>) => Promise<void>;
};

const cases: readonly Case[] = [
	{
		name: 'a host that is paused until it is declared dead, and resumes',
		silencedHosts: [`${near}-1`],
		expectedLife: 'dead',
		async run(fleet, waitUntilFound) {
			const host = fleet.host(`${near}-1`);
			host.pause();
			await waitUntilFound();
			host.resume();
		},
	},
	{
		name: 'a link that is cut one way',
		silencedHosts: [],
		async run(fleet) {
			fleet.network.cut(`${near}-1`, `${near}-2`, {isOneWay: true});
			await sleep(faultDurationMs);
			fleet.network.heal();
		},
	},
	{
		name: 'a link between zones that is cut one way',
		silencedHosts: [],
		async run(fleet) {
			fleet.network.cut(`${near}-1`, `${far}-1`, {isOneWay: true});
			await sleep(faultDurationMs);
			fleet.network.heal();
		},
	},
	{
		name: 'a flapping link',
		silencedHosts: [],
		async run(fleet) {
			for (const until = performance.now() + faultDurationMs; performance.now() < until;) {
				fleet.network.cut(`${near}-1`, `${near}-2`);
				fleet.network.cut(`${near}-1`, `${far}-1`);
				await sleep(flapIntervalMs);
				fleet.network.heal();
				await sleep(flapIntervalMs);
			}
		},
	},
	{
		name: 'a zone that is cut off and rejoins',
		silencedHosts: [`${far}-1`, `${far}-2`],
		expectedLife: 'suspect',
		async run(fleet, waitUntilFound) {
			fleet.network.isolate(far);
			await waitUntilFound();
			await sleep(faultDurationMs);
			fleet.network.heal();
		},
	},
	{
		name: 'a restart of all agents at once',
		silencedHosts: [],
		async run(fleet) {
			await Promise.all(fleet.hosts.map(async host => host.agent().kill()));
			await Promise.all(fleet.hosts.map(async host => host.startAgent()));
		},
	},
];

describe('membership', () => {
	let fleet: Fleet;
	let watch: ReturnType<typeof watchLives>;

	const others = (ids: readonly string[]) => fleet.hosts.filter(({id}) => !ids.includes(id));

	async function waitUntilAllAlive(): Promise<void> {
		await waitUntil(async () => {
			const lives = await Promise.all(fleet.hosts.map(async host => readLives(host)));
			return lives.every(seen => fleet.hosts.every(({id}) => seen.some(host => host.id === id && host.life === 'alive')));
		}, {deadlineMs, what: 'every host to consider all hosts alive', everyMs: pollIntervalMs});
	}

	/** Waits until all other hosts see the given hosts in the given state. */
	async function waitUntilGone(ids: readonly string[], life: HostLife): Promise<void> {
		await waitUntil(async () => {
			const lives = await Promise.all(others(ids).map(async host => readLives(host)));
			return lives.every(seen => ids.every(id => seen.some(host => host.id === id && host.life === life)));
		}, {deadlineMs, what: `${ids.join(', ')} to be considered ${life} by the other hosts`, everyMs: pollIntervalMs});
	}

	function report(t: TestContext, startedAt: number, results: readonly CallResult[]): void {
		const changes = watch.since(startedAt).filter(({life}) => life !== 'alive');
		const firstMs = (life: HostLife) => changes.filter(change => change.life === life).map(({atMs}) => Math.round(atMs - startedAt)).at(0);
		const count = (life: HostLife) => changes.filter(change => change.life === life).length;
		t.diagnostic(`suspected ${count('suspect')} times, first after ${firstMs('suspect') ?? '-'} ms; declared dead ${count('dead')} times, first after ${firstMs('dead') ?? '-'} ms`);
		const refused = results.filter(({isWhole}) => !isWhole);
		const reasons = refused.map(({status, problem, outcome, isBroken}) => `${status} ${problem ?? ''} ${outcome ?? ''}${isBroken ? ' broken' : ''}`);
		t.diagnostic(`${results.length} quick requests, ${refused.length} not answered whole: ${reasons.join('; ') || '-'}`);
		assert.ok(results.length > 0);
		assert.deepEqual(refused, [], 'a host that the fault did not affect gave no whole answer');
	}

	before(async () => {
		fleet = await startFleet({
			zones: [near, far],
			hostsPerZone: 2,
			isCuttable: true,
			agentFlags: {heartbeatInterval: '300ms', suspectAfter: '1s', deadAfter: `${deadAfterMs}ms`},
		});
		await waitUntilAllAlive();
		watch = watchLives(fleet.hosts);
	});
	afterEach(async () => {
		fleet.network.heal();
		await waitUntilAllAlive();
	});
	after(async () => {
		await watch.end();
		await fleet.stop();
	});

	for (const {name, silencedHosts, expectedLife, run} of cases) {
		it(`recovers from ${name}`, async t => {
			const asking = startAsking(others(silencedHosts));
			const startedAt = performance.now();
			await run(fleet, async () => waitUntilGone(silencedHosts, expectedLife!));
			const undoneAt = performance.now();
			await waitUntilAllAlive();
			t.diagnostic(`all hosts considered alive ${Math.round(performance.now() - undoneAt)} ms after the end of the fault`);
			await sleep(pollIntervalMs);
			const results = await asking.end();
			report(t, startedAt, results);
			const dead = watch.since(startedAt).filter(({life}) => life === 'dead');
			assert.deepEqual(dead.filter(({of}) => expectedLife !== 'dead' || !silencedHosts.includes(of)), [], 'a running, connected host was declared dead');
		});
	}

	it('considers a host that stops gracefully left, and never dead', async t => {
		const host = fleet.host(`${near}-1`);
		const asking = startAsking(others([host.id]));
		const startedAt = performance.now();
		await host.stop();
		const stoppedAt = performance.now();
		await waitUntilGone([host.id], 'left');
		t.diagnostic(`known as left by all ${Math.round(performance.now() - stoppedAt)} ms after its end`);
		await sleep(faultDurationMs);
		await host.start();
		await waitUntilAllAlive();
		report(t, startedAt, await asking.end());
		assert.deepEqual(watch.since(startedAt).filter(({life}) => life === 'dead'), []);
	});
});
