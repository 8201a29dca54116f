/*
 * Guards against requests that fail because a server is taken out of service. Hosts
 * learn of it from the platform's list, which is late, from the server's load
 * reports, which lag, from a refusal that precedes both, or from a peer. Callers
 * have to be answered by the other servers, work in flight on the leaving one has
 * to be completed, and once a host knows, it may not offer the server any caller's
 * request. Probes of the host itself are tested in `leaving-contradicted`.
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

/** How long the load continues after all hosts know. */
const loadAfterKnownMs = 2000;

/** Letters that take two seconds of prefill or five of decode, and the kind of hold that an engine has meanwhile. */
const longLetters = {
	prefill: {text: 'All of your post of this year, in one scan. '.repeat(730), maxTokens: 5, kind: 'prefill'},
	decode: {text: 'a letter with a long summary', maxTokens: 250, kind: 'stream'},
} as const;

function hasHold(engine: EngineStandIn, kind: string): boolean {
	return engine.judge().holds.some(hold => hold.kind === kind);
}

/** On a busy machine calls may be served late, and a call predicted to miss its target is refused; targets this long rule that out. */
const patientDesk = {...usualRoutes.desk, target: {firstToken: '60s', complete: '120s'}};

const loads = createLoads();

type Case = {
	name: string;
	/** Whether callers send requests while the hosts learn of it; without requests there are no refusals to learn from. */
	hasLoadWhileLearning: boolean;
	/** State in the server's load report when all hosts know; `serving` proves that they did not learn it from the report. */
	reported: 'serving' | 'leaving';
	leave: (fleet: Fleet, engine: EngineStandIn) => void;
};

function setLeavingOnEngine(_fleet: Fleet, engine: EngineStandIn): void {
	engine.setState('leaving');
}

const cases: readonly Case[] = [
	{
		name: 'the platform\'s list, which its load report contradicts',
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

	/** Starts long letters until at least one of them runs on the server. */
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
		name, hasLoadWhileLearning, reported, leave,
	} of cases) {
		for (const role of ['decode', 'prefill'] as const) {
			it(`is offered no new work: a ${role} engine, known to be leaving from ${name}`, async t => {
				const engine = fleet.engine(`${zone}-${role}-1`);
				const long = await startLongLetters(engine, role);
				let load = loads.start(fleet.hosts, `${role} ${name}`);
				await waitUntil(() => load.results.length > 20, {deadlineMs, what: 'more than 20 answers'});
				if (!hasLoadWhileLearning) {
					await load.end();
				}

				const before = load.results;
				const leftAt = performance.now();
				leave(fleet, engine);
				const {firstMs, allMs} = await waitUntilKnownAsLeaving(fleet, engine.id);
				assert.equal(await readReportedState(engine), reported);
				// Work that was placed just before all hosts knew may still be in flight.
				await sleep(200);
				const offers = countCallerOffers(engine);
				const {lastAcceptedAtMs} = engine.judge();
				const answered = before.length;
				load = hasLoadWhileLearning ? load : loads.start(fleet.hosts, `${role} ${name}, later`);
				await sleep(loadAfterKnownMs);
				await load.end();
				const longResults = await Promise.all(long.map(async ({done}) => done));
				const results = [...new Set([...before, ...load.results])];

				const acceptedAfterMs = Math.round((engine.judge().lastAcceptedAtMs ?? 0) - firstMs);
				t.diagnostic(`first known ${Math.round(firstMs - leftAt)} ms, by all ${Math.round(allMs - leftAt)} ms after the server began to leave`);
				t.diagnostic(`last new work accepted ${acceptedAfterMs} ms after the first host knew`);
				t.diagnostic(`${results.length - answered} letters after all hosts knew, ${countCallerOffers(engine) - offers} offers`);
				assert.ok(offers > 0, 'the load did not reach the server before all hosts knew');
				assert.ok(results.length > answered, 'no request ended after all hosts knew');
				assert.equal(countCallerOffers(engine), offers, 'new work was offered to a server that all hosts knew to be leaving');
				assert.equal(engine.judge().lastAcceptedAtMs, lastAcceptedAtMs);
				assert.deepEqual(results.filter(({isWhole}) => !isWhole), []);
				assert.deepEqual(longResults.filter(({isWhole}) => !isWhole), [], 'a letter in progress was not completed');
			});
		}
	}

	it('is offered no new work by a host that learnt of it from a peer', async t => {
		const [near, ...others] = fleet.hosts as [FleetHost, ...FleetHost[]];
		const engine = fleet.engine(`${zone}-decode-1`);
		// Load reports lag and the other hosts get no requests, so they learn it from the first host, which is refused.
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
		t.diagnostic(`${results.length} letters at hosts that learnt of it from a peer, ${countCallerOffers(engine) - offers} offers`);
		const offered = countCallerOffers(engine) === offers ? '' : await readAccounts(fleet, results.map(({requestId}) => requestId), account => account.includes(engine.id));
		assert.equal(countCallerOffers(engine), offers, offered);
		assert.deepEqual(results.filter(({isWhole}) => !isWhole), []);
	});

	it('gets no new calls: a plain service, known to be leaving from the platform\'s list', async t => {
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
		assert.deepEqual(finished.filter(({isWhole}) => !isWhole), [], 'a call in progress was not completed');
	});
});
