/**
 * A storm: load from several callers against a whole fleet while processes are
 * killed, paused and restarted, zones are cut, streams break and edits are
 * published. After the storm, when all faults have been removed, every promise is
 * judged by what callers were told and what the stand-ins counted.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {startFleet, type Fleet} from '../_lib/start-fleet/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {countModelRuns, countRuns, type Runs} from './_lib/count-runs.js';
import {createDocuments, type Documents} from './_lib/create-documents.js';
import {createRandom, type Random} from './_lib/create-random.js';
import {judgeStorm} from './_lib/judge-storm.js';
import {planFaults} from './_lib/plan-faults.js';
import {runCallers} from './_lib/run-callers.js';
import {createFaultInjector, type FaultInjector} from './_lib/inject-faults.js';
import {saveLogs} from './_lib/save-logs.js';
import {toCallsReport, type StormReport} from './_lib/to-report.js';
import {type PlannedFault, type Sent} from './_lib/types.js';
import {fetchVersion, watchVersions} from './_lib/watch-versions.js';

export {toReportText, type StormReport} from './_lib/to-report.js';
export {type Verdict} from './_lib/judge-storm.js';

export type StormOptions = {
	seed: number;
	durationMs: number;
	callers?: number;
	/** Mean time between two faults. */
	faultEveryMs?: number;
	/** Folder in which faults and logs are saved when a promise is broken. */
	logFolder?: string;
	/** Called with progress messages. */
	onProgress?: (text: string) => void;
};

const zones = ['dvorana-a', 'dvorana-b', 'dvorana-c'];
const clockBoundMs = 3000;
/** Largest error of an entry's clock, ahead or behind. */
const maxClockErrorMs = 1000;
const settleDeadlineMs = 60_000;
const readyDeadlineMs = 60_000;

/** Expiry on the engines themselves, so long that it can't hide a reservation or answer that a host failed to release. */
const longExpiryMs = 60_000;
const releaseDeadlineMs = 30_000;
const entryFlags = {
	reservationTtl: `${longExpiryMs}ms`, clockBound: `${clockBoundMs}ms`, drainDelay: '500ms', drainTimeout: '60s',
};

async function startStormFleet(random: Random): Promise<Fleet> {
	const fleet = await startFleet({
		isIdle: true,
		zones,
		hostsPerZone: random.between(1, 2),
		decodesPerZone: 2,
		isCuttable: true,
		entryFlags,
		prefillEngine: {prefillTokensPerSecond: 5000, prefillConcurrency: 8},
		decodeEngine: {decodeTokensPerSecond: 150, slots: 20, keepAnswerMs: longExpiryMs},
	});
	try {
		for (const host of fleet.hosts) {
			host.setClock({aheadMs: random.between(-maxClockErrorMs, maxClockErrorMs)});
		}

		await Promise.all(fleet.hosts.map(async host => host.start()));
		await fleet.waitUntilReady();
	} catch (error) {
		await fleet.stop();
		throw error;
	}

	// No host vouches for a new key until this time has passed.
	await sleep(clockBoundMs + maxClockErrorMs);
	return fleet;
}

async function injectAll(plan: readonly PlannedFault[], faultInjector: FaultInjector): Promise<void> {
	const start = performance.now();
	const injections: Array<Promise<void>> = [];
	for (const fault of plan) {
		await sleep(Math.max(0, start + fault.atMs - performance.now()));
		injections.push(faultInjector.inject(fault));
	}

	faultInjector.end();
	await Promise.all(injections);
}

/** Lists programs that do not show the newest good document. */
async function findOutdated(fleet: Fleet, documents: Documents): Promise<string[]> {
	const {digest, position} = documents.newest();
	const programs = fleet.hosts.flatMap(host => [{host, program: 'agent' as const}, {host, program: 'entry' as const}]);
	const shown = await Promise.all(programs.map(async ({host, program}) => ({name: `${program} of ${host.id}`, version: await fetchVersion(host, program)})));
	return shown.filter(({version}) => version?.digest !== digest).map(({name, version}) => `${name} shows ${JSON.stringify(version)}, not edit ${position}`);
}

/** Waits until a list is empty; returns the remaining items when the deadline passes first. */
async function waitUntilEmpty(find: () => Promise<readonly string[]>, deadlineMs = settleDeadlineMs): Promise<{left: readonly string[]; afterMs: number}> {
	const start = performance.now();
	let left: readonly string[] = [];
	try {
		await waitUntil(async () => {
			left = await find();
			return left.length === 0;
		}, {deadlineMs, what: 'the storm to settle', everyMs: 100});
	} catch {}

	return {left, afterMs: Math.round(performance.now() - start)};
}

/** Publishes bad edits after the last good one, which must change nothing, and waits until a host shows a refused one and the others have had time to read it. */
async function tryBadEdits(fleet: Fleet, documents: Documents): Promise<void> {
	for (let variant = 0; variant < documents.badVariantCount; variant++) {
		documents.publishBad(variant);
		await sleep(300);
	}

	await waitUntil(async () => {
		const shown = await Promise.all(fleet.hosts.map(async host => {
			const res = await fetch(`${host.agentOperatorUrl}/status`, {signal: AbortSignal.timeout(5000)});
			const {refused} = await res.json() as {refused?: unknown};
			return refused !== undefined && refused !== null;
		}));
		return shown.some(Boolean);
	}, {deadlineMs: settleDeadlineMs, what: 'a refused edit to be shown', everyMs: 100});
	await sleep(1000);
}

function countAllRuns(fleet: Fleet, sent: readonly Sent[]): ReadonlyMap<string, Runs> {
	const counted = new Map(countModelRuns(fleet));
	for (const {work} of sent) {
		if (work.kind.startsWith('desk') && !counted.has(work.id)) {
			counted.set(work.id, countRuns(fleet, work));
		}
	}

	return counted;
}

function sumWaste(fleet: Fleet): Record<string, number> {
	const sum: Record<string, number> = {};
	for (const engine of fleet.engines.values()) {
		for (const [cause, count] of Object.entries(engine.judge().wasted)) {
			sum[cause] = (sum[cause] ?? 0) + count;
		}
	}

	return sum;
}

async function runStormOn(fleet: Fleet, random: Random, {seed, durationMs, callers = 16, faultEveryMs = 800, logFolder, onProgress = () => undefined}: StormOptions): Promise<StormReport> {
	const documents = createDocuments(fleet);
	const faultInjector = createFaultInjector(fleet, documents, entryFlags);
	const engines = [...fleet.engines.keys()];
	const plan = planFaults({
		hosts: fleet.hosts.map(({id}) => id), zones, engines, decodes: engines.filter(id => id.includes('-decode-')), desks: fleet.plains.map(({id}) => id),
	}, {durationMs, meanIntervalMs: faultEveryMs}, random);
	onProgress(`${plan.length} faults are planned for ${fleet.hosts.length} hosts`);
	const watch = watchVersions(fleet, documents);
	const isLeaving = (host: string): boolean => faultInjector.injected().some(({kind, targets, to}) => kind === 'restart host' && targets[0] === host && to === Infinity);
	const [sent] = await Promise.all([
		runCallers(fleet, {
			seed, callers, durationMs, listExtraHosts: faultInjector.twins, isLeaving,
		}),
		injectAll(plan, faultInjector),
	]);
	onProgress('the storm is over');
	fleet.network.heal();
	await waitUntil(async () => {
		try {
			await fleet.waitUntilReady();
			return true;
		} catch {
			return false;
		}
	}, {deadlineMs: readyDeadlineMs, what: 'all hosts to serve again'});
	const inForce = await waitUntilEmpty(async () => findOutdated(fleet, documents));
	const released = await waitUntilEmpty(async () => fleet.holds().map(hold => JSON.stringify(hold)), releaseDeadlineMs);
	await tryBadEdits(fleet, documents);
	const outdated = await findOutdated(fleet, documents);
	await watch.end();
	const runs = countAllRuns(fleet, sent);
	const verdicts = judgeStorm({
		sent,
		injectedFaults: faultInjector.injected(),
		runs,
		holds: released.left,
		reversions: watch.reversions(),
		unexpectedDocuments: watch.unexpectedDocuments(),
		observationCount: watch.observationCount(),
		outdated: [...inForce.left, ...outdated],
		asked: 2 * fleet.hosts.length,
		clockBoundMs,
		zones: new Map(fleet.hosts.map(({id, zone}) => [id, zone])),
	});
	const isKept = verdicts.every(({violations}) => violations.length === 0);
	if (!isKept && logFolder !== undefined) {
		saveLogs(logFolder, {
			hosts: [...fleet.hosts, ...faultInjector.allTwins()], injectedFaults: faultInjector.injected(), sent, reversions: watch.reversions(),
		});
	}

	return {
		seed,
		durationMs,
		hosts: fleet.hosts.length,
		...toCallsReport(sent, faultInjector.injected(), runs),
		edits: documents.counts(),
		wastedPrefills: sumWaste(fleet),
		heldBytes: fleet.holds().reduce((sum, {bytes}) => sum + bytes, 0),
		releasedAfterMs: released.afterMs,
		inForceAfterMs: inForce.afterMs,
		verdicts,
		isKept,
	};
}

/**
 * Runs a storm from its seed.
 *
 * @param options - Seed and length. Faults are drawn from the seed before the storm begins.
 * @returns The report; `isKept` says whether every promise was kept.
 * @throws When a part of the harness fails, for example when a program does not restart.
 */
export async function runStorm(options: StormOptions): Promise<StormReport> {
	const random = createRandom(options.seed);
	const fleet = await startStormFleet(random);
	try {
		return await runStormOn(fleet, random, options);
	} finally {
		await fleet.stop();
	}
}
