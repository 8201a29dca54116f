/**
 * Measures what it costs a host to find out whether its callers still wait: latency
 * and processor time of lookups and streams, of this build and of the one in the
 * folder `RELAY_BUILD`, by turns.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {findBuild} from '../../test/failures/_lib/find-build.js';
import {toStreamHeaders} from '../../test/stand-ins/users-platform/start-relay-fixture.js';
import {startRelayProcesses, type RelayProcesses} from '../../test/stand-ins/users-platform/start-relay-processes.js';
import {type RelayCall} from '../../test/stand-ins/users-platform/send-call.js';
import {readCpuSeconds} from '../_lib/read-process.js';

const rounds = 4;
const warmUpMs = 3000;
const measureMs = 8000;
const drainMs = 500;
const hosts = 2;

type Load = {name: string; perSecond: number; call: RelayCall};

const loads: readonly Load[] = [
	{name: 'lookups, quiet', perSecond: 20, call: {path: '/lookup/1', body: 'lookup', headers: {'deadline-ms': '4000'}}},
	{name: 'lookups, busy', perSecond: 250, call: {path: '/lookup/1', body: 'lookup', headers: {'deadline-ms': '4000'}}},
	{name: 'streams', perSecond: 40, call: {path: '/summary/1', body: 'prompt', headers: toStreamHeaders()}},
];

export type CallerWaitsRow = {
	load: string;
	build: 'this' | 'other';
	round: number;
	answered: number;
	p50Ms: number;
	p99Ms: number;
	/** Processor time of one host for a request. */
	cpuMsPerRequest: number;
};

const toHundredths = (value: number): number => Math.round(value * 100) / 100;

/** Sends calls to the first host at a fixed rate, each on a new connection; returns how long the answers took. */
async function sendLoad(processes: RelayProcesses, {perSecond, call}: Load, forMs: number): Promise<number[]> {
	const tookMs: number[] = [];
	const startedAt = performance.now();
	const calls: Array<Promise<void>> = [];
	const ask = async (): Promise<void> => {
		const answer = await processes.ask({...call, at: 0});
		if (answer.status === 200) {
			tookMs.push(answer.tookMs);
		}
	};

	for (let sent = 0; performance.now() - startedAt < forMs; sent++) {
		calls.push(ask());
		await sleep(Math.max(0, (sent * 1000 / perSecond) - (performance.now() - startedAt)));
	}

	await Promise.all(calls);
	return tookMs.sort((a, b) => a - b);
}

async function measure(load: Load, build: URL | undefined, round: number): Promise<CallerWaitsRow> {
	const processes = await startRelayProcesses({hosts, build: () => build});
	try {
		for (const id of ['desk1', 'desk2', 'prefill1', 'prefill2', 'decode1', 'decode2']) {
			await processes.startServer(id, 'v1', {workMs: 10});
		}

		await processes.waitForServers();
		await sendLoad(processes, load, warmUpMs);
		const {pid} = processes.hosts()[0]!;
		const cpuBefore = readCpuSeconds(pid);
		const tookMs = await sendLoad(processes, load, measureMs);
		await sleep(drainMs);
		return {
			load: load.name,
			build: build === undefined ? 'this' : 'other',
			round,
			answered: tookMs.length,
			p50Ms: toHundredths(tookMs[Math.floor(tookMs.length * 0.5)] ?? Number.NaN),
			p99Ms: toHundredths(tookMs[Math.floor(tookMs.length * 0.99)] ?? Number.NaN),
			cpuMsPerRequest: toHundredths((readCpuSeconds(pid) - cpuBefore) * 1000 / tookMs.length),
		};
	} finally {
		await processes.stop();
	}
}

/**
 * Runs the bench. Prints a row for each load, build and round, then all rows as JSON.
 *
 * @returns The printed rows.
 */
export async function runCallerWaitsBench(): Promise<readonly CallerWaitsRow[]> {
	const other = findBuild();
	const builds = other === undefined ? [undefined] : [other, undefined];
	const rows: CallerWaitsRow[] = [];
	for (const load of loads) {
		for (let round = 1; round <= rounds; round++) {
			for (const build of builds) {
				rows.push(await measure(load, build, round));
			}
		}
	}

	console.table(rows);
	console.log(JSON.stringify({bench: 'caller-waits', rows}));
	return rows;
}
