/*
 * A server is taken out of service. The platform's list says so late, its own
 * load reports lag, and it may refuse before either; a host that has heard
 * nothing learns it from a peer. Callers go on being answered by the other
 * servers, what runs on the leaving one is finished whole, and once a host
 * knows, no caller's request is offered there. That a host asks the server by a
 * probe of its own is the matter of `leaving-contradicted`.
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	after, afterEach, before, beforeEach, describe, it,
} from 'node:test';
import {usualRoutes, type Fleet, type FleetHost} from '../_lib/start-fleet/index.js';
import {type EngineStandIn} from '../stand-ins/engine/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {createLoads} from './_lib/create-loads.js';
import {
	countCallerOffers, deadlineMs, readReportedState, startLeavingServerFleet, waitUntilKnownAsLeaving, waitUntilNoneIsLeaving, zone,
} from './_lib/leaving-server-fleet.js';
import {readAccounts} from './_lib/read-accounts.js';
import {startCall, type StartedCall} from './_lib/start-call.js';
import {startPlainCall} from './_lib/start-plain-call.js';

/** Load goes on for so long after all hosts know. */
const loadAfterKnownMs = 2000;

/** Two seconds of prefill, or five of decode, and what an engine holds meanwhile. */
const longLetters = {
	prefill: {text: 'All of your post of this year, in one scan. '.repeat(730), maxTokens: 5, kind: 'prefill'},
	decode: {text: 'a letter with a long summary', maxTokens: 250, kind: 'stream'},
} as const;

function hasHold(engine: EngineStandIn, kind: string): boolean {
	return engine.judge().holds.some(hold => hold.kind === kind);
}

/** A machine that is busy with other work may serve late; a call that would miss its target is refused, whoever leaves. */
const patientDesk = {...usualRoutes.desk, target: {firstToken: '60s', complete: '120s'}};

const loads = createLoads();

type Case = {
	name: string;
	/** Whether callers ask while the hosts learn of it; a refusal can be learnt from only then. */
	hasLoadWhileLearning: boolean;
	/** What its report says when all hosts know: other than `leaving` proves that they did not learn it there. */
	reported: 'serving' | 'leaving';
	leave: (fleet: Fleet, engine: EngineStandIn) => void;
};

function setLeavingOnEngine(_fleet: Fleet, engine: EngineStandIn): void {
	engine.setState('leaving');
}

const cases: readonly Case[] = [
	{
		name: 'the platform\'s list, which its own word contradicts',
		hasLoadWhileLearning: true,
		reported: 'serving',
		leave(fleet, {id}) {
			fleet.publishFleet({[id]: 'leaving'});
		},
	},
	{
		name: 'its refusal, before its lagging load report', hasLoadWhileLearning: true, reported: 'serving', leave: setLeavingOnEngine,
	},
	{
		name: 'its load report', hasLoadWhileLearning: false, reported: 'leaving', leave: setLeavingOnEngine,
	},
];

describe('a server that leaves', () => {
	let fleet: Fleet;

	before(async () => {
		fleet = await startLeavingServerFleet({
			plainsPerZone: 2,
			isCuttable: true,
			engine: {loadLagMs: 5000},
			prefillEngine: {prefillConcurrency: 4},
			config: {routes: {...usualRoutes, desk: patientDesk}},
		});
	});
	beforeEach(() => {
		for (const engine of fleet.engines.values()) {
			engine.resetJudge();
		}
	});
	afterEach(async () => {
		await loads.endAll();
		fleet.network.heal();
		fleet.publishFleet({});
		for (const engine of fleet.engines.values()) {
			engine.setFaults({});
			engine.setState('serving');
		}

		await waitUntilNoneIsLeaving(fleet);
	});
	after(async () => {
		await fleet.stop();
	});

	/** Long letters, at least one of them on the server. */
	async function startLongLetters(engine: EngineStandIn, role: 'prefill' | 'decode'): Promise<StartedCall[]> {
		const calls: StartedCall[] = [];
		const {text, maxTokens, kind} = longLetters[role];
		await waitUntil(() => {
			calls.push(startCall(fleet.hosts[0]!.callerUrl, {prompt: `${engine.id} ${calls.length}: ${text}`, maxTokens}));
			return hasHold(engine, kind);
		}, {deadlineMs, what: `a long letter on ${engine.id}`, everyMs: 200});
		return calls;
	}

	for (const {
		name, hasLoadWhileLearning: isAskedMeanwhile, reported, leave,
	} of cases) {
		for (const role of ['decode', 'prefill'] as const) {
			it(`gets nothing new: a ${role} engine, known from ${name}`, async t => {
				const engine = fleet.engine(`${zone}-${role}-1`);
				const long = await startLongLetters(engine, role);
				let load = loads.start(fleet.hosts, `${role} ${name}`);
				await waitUntil(() => load.results.length > 20, {deadlineMs, what: 'some load'});
				if (!isAskedMeanwhile) {
					await load.end();
				}

				const before = load.results;
				const leftAt = performance.now();
				leave(fleet, engine);
				const {firstMs, allMs} = await waitUntilKnownAsLeaving(fleet, engine.id);
				assert.equal(await readReportedState(engine), reported);
				// What was placed a moment before all knew may still be on its way.
				await sleep(200);
				const offers = countCallerOffers(engine);
				const {lastAcceptedAtMs} = engine.judge();
				const answered = before.length;
				load = isAskedMeanwhile ? load : loads.start(fleet.hosts, `${role} ${name}, later`);
				await sleep(loadAfterKnownMs);
				await load.end();
				const longResults = await Promise.all(long.map(async ({done}) => done));
				const results = [...new Set([...before, ...load.results])];

				const acceptedAfterMs = Math.round((engine.judge().lastAcceptedAtMs ?? 0) - firstMs);
				t.diagnostic(`first known ${Math.round(firstMs - leftAt)} ms, by all ${Math.round(allMs - leftAt)} ms after it left`);
				t.diagnostic(`last new work accepted ${acceptedAfterMs} ms after the first host knew`);
				t.diagnostic(`${results.length - answered} letters after all knew, ${countCallerOffers(engine) - offers} offers`);
				assert.ok(offers > 0, 'the load did not reach the server');
				assert.ok(results.length > answered, 'no load came after all knew');
				assert.equal(countCallerOffers(engine), offers, 'new work was offered to a server that all knew to be leaving');
				assert.equal(engine.judge().lastAcceptedAtMs, lastAcceptedAtMs);
				assert.deepEqual(results.filter(({isWhole}) => !isWhole), []);
				assert.deepEqual(longResults.filter(({isWhole}) => !isWhole), [], 'a letter in progress was not finished');
			});
		}
	}

	it('gets nothing new from a host that only a peer told', async t => {
		const [near, ...others] = fleet.hosts as [FleetHost, ...FleetHost[]];
		const engine = fleet.engine(`${zone}-decode-1`);
		// Reports lag, and nobody asks the others: they know it from the first host's refusals.
		engine.setState('leaving');
		const refusedAt = performance.now();
		const load = loads.start([near], 'peer');
		const {firstMs, allMs} = await waitUntilKnownAsLeaving(fleet, engine.id);
		assert.equal(await readReportedState(engine), 'serving');
		await load.end();
		const offers = countCallerOffers(engine);
		const calls = others.flatMap((host, i) => Array.from({length: 10}, (_, j) => startCall(host.callerUrl, {prompt: `told ${i} ${j}`, maxTokens: 5})));
		const results = await Promise.all(calls.map(async ({done}) => done));
		t.diagnostic(`first known ${Math.round(firstMs - refusedAt)} ms, by all ${Math.round(allMs - refusedAt)} ms after the refusals began`);
		t.diagnostic(`${results.length} letters at hosts that were told, ${countCallerOffers(engine) - offers} offers`);
		const offered = countCallerOffers(engine) === offers ? '' : await readAccounts(fleet, results.map(({requestId}) => requestId), account => account.includes(engine.id));
		assert.equal(countCallerOffers(engine), offers, offered);
		assert.deepEqual(results.filter(({isWhole}) => !isWhole), []);
	});

	it('gets nothing new: a plain service, known from the platform\'s list', async t => {
		const [plain] = fleet.plains;
		assert.ok(plain);
		const ask = async (i: number) => startPlainCall(fleet.hosts[i % fleet.hosts.length]!.callerUrl, {path: '/desk/box/17'});
		plain.setFaults({workMs: 1000});
		const inProgress = await Promise.all([0, 1, 2, 3, 4, 5].map(async i => [ask(i)] as const));
		await waitUntil(() => plain.calls().length > 0, {deadlineMs, what: 'a call in progress'});
		const leftAt = performance.now();
		fleet.publishFleet({[plain.id]: 'leaving'});
		const {allMs} = await waitUntilKnownAsLeaving(fleet, plain.id);
		const calls = plain.calls().length;
		const results = await Promise.all(Array.from({length: 30}, async (_, i) => ask(i)));
		t.diagnostic(`known by all ${Math.round(allMs - leftAt)} ms after the list was published; ${plain.calls().length - calls} of ${results.length} further calls`);
		assert.equal(plain.calls().length, calls);
		const unserved = results.filter(({isWhole}) => !isWhole);
		assert.deepEqual(unserved, [], await readAccounts(fleet, unserved.map(({requestId}) => requestId)));
		const finished = await Promise.all(inProgress.map(async ([call]) => call));
		assert.deepEqual(finished.filter(({isWhole}) => !isWhole), [], 'a call in progress was not finished');
	});
});
