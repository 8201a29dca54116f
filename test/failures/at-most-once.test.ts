/*
 * Guards against work that runs twice under one idempotency key, and is billed
 * twice. A caller sends a scene, or a change at the desk, to a host that is killed,
 * paused, replaced or cut off, in some tests together with another host; the
 * caller repeats the key at other hosts, during the faults and after them. The
 * keys' timestamps are correct, two minutes ahead or two minutes behind. Runs are
 * counted by the engines and the desk.
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	after, afterEach, before, beforeEach, describe, it,
} from 'node:test';
import {v7 as createKey} from 'uuid';
import {startFleet, type Fleet, type FleetHost} from '../_lib/start-fleet/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {hostFaults, type HostFault, type ActiveFault} from './_lib/host-faults.js';
import {startCall} from './_lib/start-call.js';
import {startPlainCall, type PlainCallResult} from './_lib/start-plain-call.js';

const deadlineMs = 30_000;
const twoMinutesMs = 120_000;
/** Long enough for hosts to vouch for keys that are two minutes old. */
const startedAgoMs = 10 * 60_000;
const clockBound = '241s';
/** Number of hosts, of six in three zones, that have to vouch for a new key. */
const quorum = 4;
const hostCount = 6;
const sendIntervalMs = 2;

const mints = [{mint: 'on time', offMs: 0}, {mint: 'ahead', offMs: twoMinutesMs}, {mint: 'behind', offMs: -twoMinutesMs}] as const;
const stages = ['ended', 'in decode', 'in prefill', 'sent'] as const;
type Stage = (typeof stages)[number];

type Work = {
	kind: 'scene' | 'desk';
	stage: Stage;
	mint: string;
	key: string;
	send: (host: FleetHost) => Promise<PlainCallResult>;
};

const longText = 'All of the scenes of this year, one after the other. '.repeat(500);

function createWork(kind: Work['kind'], stage: Stage, {mint, offMs}: (typeof mints)[number]): Work {
	const key = createKey({msecs: Date.now() + offMs});
	const prompt = stage === 'in prefill' ? `${key} ${longText}` : `${key} a scene`;
	return {
		kind,
		stage,
		mint,
		key,
		send: async host => kind === 'desk'
			? startPlainCall(host.callerUrl, {path: '/desk/forwarding/17', key})
			: startCall(host.callerUrl, {
				prompt, key, isScene: true, maxTokens: stage === 'in decode' ? 300 : 10,
			}).done,
	};
}

/** Counts the runs of a piece of work, from the records of the engines and the desk. */
function countRuns(fleet: Fleet, {key}: Work): {begun: number; runs: number} {
	const atDesk = fleet.plains.reduce((sum, plain) => sum + plain.countWork(key), 0);
	const judged = [...fleet.engines.values()].map(engine => engine.judge());
	const ids = new Set(judged.flatMap(({prompts}) => Object.entries(prompts).filter(([, prompt]) => prompt.startsWith(key)).map(([id]) => id)));
	const requests = [...ids].flatMap(id => judged.map(({requests: counted}) => counted[id])).filter(request => request !== undefined);
	const decodes = requests.reduce((sum, request) => sum + request.decodesStarted, 0);
	const prefills = requests.reduce((sum, request) => sum + request.prefillsStarted, 0);
	return {begun: atDesk + prefills + decodes, runs: atDesk + decodes};
}

type Scenario = {
	name: string;
	first: HostFault;
	second?: HostFault;
	listChanges?: boolean;
	/** Whether the first fault is injected into every host. */
	isEverywhere?: boolean;
};

const {
	killed, restarted, restartedAhead, restartedBehind, paused, replaced, cut, stale,
} = hostFaults;
const pairs: ReadonlyArray<readonly [HostFault, HostFault]> = [
	[killed, restarted],
	[killed, paused],
	[killed, cut],
	[killed, replaced],
	[killed, stale],
	[paused, restartedBehind],
	[paused, cut],
	[paused, replaced],
	[cut, restartedAhead],
	[cut, paused],
	[cut, replaced],
	[replaced, restarted],
];
const scenarios: readonly Scenario[] = [
	...[killed, restarted, paused, replaced, cut, stale].map((first): Scenario => ({name: `on its host: ${first.name}`, first})),
	...pairs.map(([first, second]): Scenario => ({name: `on its host: ${first.name}; on another: ${second.name}`, first, second})),
	{name: `on every host: ${restarted.name}`, first: restarted, isEverywhere: true},
	{
		name: `on its host: ${killed.name}; the host list changes while another zone is cut off`, first: killed, second: cut, listChanges: true,
	},
];

describe('work that may run once only', () => {
	let fleet: Fleet;

	before(async () => {
		fleet = await startFleet({
			zones: ['dvorana-a', 'dvorana-b', 'dvorana-c'],
			hostsPerZone: 2,
			isCuttable: true,
			entryFlags: {clockBound},
			entryClock: {startedAgoMs},
			prefillEngine: {prefillTokensPerSecond: 5000, prefillConcurrency: 16},
			decodeEngine: {decodeTokensPerSecond: 200, slots: 100},
		});
	});
	beforeEach(() => {
		for (const engine of fleet.engines.values()) {
			engine.resetJudge();
		}

		for (const plain of fleet.plains) {
			plain.setFaults({workMs: 300});
		}
	});
	afterEach(async () => {
		fleet.network.heal();
		fleet.platform.setFaults({});
		for (const {cleanUp} of activeFaults) {
			await cleanUp?.();
		}

		await Promise.all([...faultyHosts].map(async host => {
			await host.kill();
			host.setClock({startedAgoMs});
			await host.start();
		}));
		activeFaults.length = 0;
		faultyHosts.clear();
		await fleet.waitUntilReady();
	});
	after(async () => {
		await fleet.stop();
	});

	const activeFaults: ActiveFault[] = [];
	const faultyHosts = new Set<FleetHost>();
	const outcomes: Array<{work: Work; result: PlainCallResult; begun: number}> = [];

	/** Sends work, and compares the outcome in the answer with the counts at that moment. */
	async function send(work: Work, host: FleetHost): Promise<PlainCallResult> {
		const result = await work.send(host);
		const {begun} = countRuns(fleet, work);
		outcomes.push({work, result, begun});
		if (result.outcome === 'not-run') {
			assert.equal(begun, 0, `the outcome is "not-run", but a ${work.kind} began (${work.stage}, key ${work.mint}): ${JSON.stringify(result)}`);
		}

		return result;
	}

	async function sendAll(works: readonly Work[], host: FleetHost): Promise<PlainCallResult[]> {
		return Promise.all(works.map(async work => send(work, host)));
	}

	/** Waits until new work succeeds at the host: the previous test's fault may just have cut off its peers, and until they vouch again, refusals are correct. */
	async function waitUntilClaimsSucceed(host: FleetHost): Promise<void> {
		for (const kind of ['scene', 'desk'] as const) {
			await waitUntil(async () => {
				const result = await send(createWork(kind, 'ended', mints[0]), host);
				return result.isWhole;
			}, {deadlineMs, what: `a whole ${kind} at ${host.id}`, everyMs: 200});
		}
	}

	async function startWorks(host: FleetHost): Promise<{works: Work[]; firsts: Promise<PlainCallResult[]>}> {
		await waitUntilClaimsSucceed(host);
		const works = stages.flatMap(stage => mints.flatMap(mint => [createWork('scene', stage, mint), createWork('desk', stage, mint)]));
		await sendAll(works.filter(({stage}) => stage === 'ended'), host);
		const early = works.filter(({stage}) => stage === 'in decode' || stage === 'in prefill');
		const sent = sendAll(early, host);
		const hasEnded = (one: Work) => outcomes.some(({work}) => work === one);
		await waitUntil(() => early.every(work => {
			const {begun, runs} = countRuns(fleet, work);
			return hasEnded(work) || (work.stage === 'in decode' ? runs > 0 : begun > 0);
		}), {deadlineMs, what: 'all work to have begun'});
		const refused = outcomes.filter(({work, begun}) => early.includes(work) && begun === 0);
		assert.deepEqual(refused.map(({work, result}) => ({work, result})), [], 'work was refused by a host before any fault was injected');
		const last: Array<Promise<PlainCallResult>> = [];
		// When the fault is injected, the first of these are being claimed or dispatched, and the last have just been sent.
		for (const work of works.filter(({stage}) => stage === 'sent')) {
			last.push(send(work, host));
			await sleep(sendIntervalMs);
		}

		return {works, firsts: Promise.all([sent, ...last]).then(results => results.flat())}; // eslint-disable-line promise/prefer-await-to-then -- not to be awaited here
	}

	/** Sends work with new keys to healthy hosts; a refusal is a fault if enough hosts can vouch for the key. */
	async function countRefusals(hosts: readonly FleetHost[]): Promise<{asked: number; refused: PlainCallResult[]}> {
		const asked = hosts.flatMap(host => mints.map(mint => ({host, work: createWork('desk', 'sent', mint)})));
		const results = await Promise.all(asked.map(async ({host, work}) => send(work, host)));
		return {asked: asked.length, refused: results.filter(result => !result.isWhole)};
	}

	for (const {
		name, first, second, listChanges = false, isEverywhere = false,
	} of scenarios) {
		it(`runs at most once, ${name}`, async t => {
			outcomes.length = 0;
			const [host, zonePeer, other, , third] = fleet.hosts as [FleetHost, FleetHost, FleetHost, FleetHost, FleetHost];
			const faults: ReadonlyArray<readonly [HostFault, FleetHost]> = isEverywhere
				? fleet.hosts.map(each => [first, each])
				: [[first, host], ...(second === undefined ? [] : [[second, third] as const])];
			const {works, firsts} = await startWorks(host);
			for (const [, target] of faults) {
				faultyHosts.add(target);
			}

			activeFaults.push(...await Promise.all(faults.map(async ([fault, target]) => fault.inject(fleet, target))));

			if (listChanges) {
				fleet.platform.publish('config', fleet.toConfigText({hosts: fleet.hosts.filter(({id}) => id !== 'dvorana-b-2').map(({id, zone}) => ({id, zone}))}));
			}

			const isCutOff = (one: FleetHost) => faults.some(([fault, target]) => fault === cut && target.zone === one.zone);
			const healthyHosts = fleet.hosts.filter(one => isEverywhere || (!faultyHosts.has(one) && !isCutOff(one)));
			await fleet.waitUntilReady(healthyHosts);
			const [newKeys] = await Promise.all([countRefusals(healthyHosts), sendAll(works, other), ...(isCutOff(zonePeer) ? [sendAll(works, zonePeer)] : [])]);
			await Promise.all(activeFaults.map(async ({undo}) => undo()));
			await firsts;
			await sendAll(works, zonePeer);
			await sendAll(works, host.entry().isRunning() ? host : other);
			await sendAll(works, third.entry().isRunning() ? third : other);
			const counted = works.map(work => ({work, ...countRuns(fleet, work)}));

			const answeredWhole = works.filter(({key}) => outcomes.some(({work, result}) => work.key === key && result.isWhole));
			const neverRun = counted.filter(({begun}) => begun === 0).map(({work}) => `${work.kind} ${work.stage}, key ${work.mint}`);
			const count = (isCounted: (runs: number) => boolean) => counted.filter(({runs}) => isCounted(runs)).length;
			t.diagnostic(`${works.length} keys: ${count(runs => runs > 1)} ran more than once, ${count(runs => runs === 1)} once, ${count(runs => runs === 0)} did not run`);
			t.diagnostic(`${answeredWhole.length} got a whole answer`);
			t.diagnostic(`refused without having begun anywhere: ${neverRun.length === 0 ? 'none' : neverRun.join('; ')}`);
			t.diagnostic(`new keys at healthy hosts: ${newKeys.refused.length} of ${newKeys.asked} refused`);
			for (const {work, runs} of counted) {
				assert.ok(runs <= 1, `${work.kind} ${work.stage}, key ${work.mint}: ${runs} runs`);
			}

			if (hostCount - faults.reduce((sum, [{nonVouchingHosts}]) => sum + nonVouchingHosts, 0) >= quorum) {
				assert.deepEqual(newKeys.refused, [], 'a healthy host refused a new key although enough hosts could vouch for it');
			}
		});
	}
});
