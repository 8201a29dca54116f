/** Measures one real agent with a full-size document that changes at the target rate. */
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {startEngineStandIn} from '../../test/stand-ins/engine/index.js';
import {startPlatformStandIn, type PlatformStandIn} from '../../test/stand-ins/platform/index.js';
import {startProgram} from '../../test/_lib/start-program/index.js';
import {waitUntil} from '../../test/_lib/wait-until/index.js';
import {type ServerEntry} from '../../src/ports/config.js';
import {smallHeapOptions} from '../membership/index.js';

/** Interval of 16,000 changes a day. */
const changeEveryMs = 5400;
const changes = 6;
/** Longer than the first 15 s after a start, in which the agent sweeps more often. */
const settleMs = 25_000;
const measuredSeconds = changes * changeEveryMs / 1000;
const firstDeadlineMs = 60_000;
const ticksPerSecond = 100;
const polledServers = 8;

/** Publishes a document and its edits. */
export type Publisher = {
	name: string;
	/** Publishes edit number `round`, where 0 is the first document, and returns the bytes published. */
	publish: (platform: PlatformStandIn, round: number) => number;
};

export type ChangesRow = {
	form: string;
	documentBytes: number;
	publishedBytesEach: number;
	servedBytesEach: number;
	readsEach: number;
	/** CPU use between changes, as a percentage of one core. */
	restPercent: number;
	/** CPU use with a change every 5.4 s, as a percentage of one core. */
	cpuPercent: number;
	cpuMsEach: number;
	residentMb: number;
	peakMb: number;
};

function readCpuSeconds(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function readStatusMb(pid: number, name: string): number {
	return Number(new RegExp(String.raw`${name}:\s+(\d+)`, 'v').exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / 1024;
}

/** Starts the engines that the agent polls. */
async function startEngines() {
	const engines = await Promise.all(Array.from({length: polledServers}, async (_, i) => startEngineStandIn({
		id: `e${i}`, role: i === 0 ? 'prefill' : 'decode', model: 'm', version: '1',
	})));
	const servers = engines.map((engine, i): ServerEntry => ({
		id: engine.id, zone: 'a', url: engine.url, role: i === 0 ? 'prefill' : 'decode', pool: 'summaries', slots: 20, checksFence: true,
	}));
	return {servers, stop: async () => Promise.all(engines.map(async engine => engine.stop()))};
}

/**
 * Measures one form of the document, without and with changes, and stops all started
 * processes before it returns.
 *
 * @param toPublisher - Creates the publisher of a document that lists the given servers.
 * @returns Row for this form.
 */
export async function measureChanges(toPublisher: (servers: readonly ServerEntry[]) => Publisher): Promise<ChangesRow> {
	const engines = await startEngines();
	const publisher = toPublisher(engines.servers);
	const platform = await startPlatformStandIn({fleet: {hosts: [], servers: []}});
	const documentBytes = publisher.publish(platform, 0);
	const agent = await startProgram({
		program: 'agent',
		nodeOptions: smallHeapOptions,
		flags: {
			hostId: 'a-1', zone: 'a', platformUrl: platform.url, peerPort: 0, operatorPort: 0,
		},
	});
	const accepted = () => agent.logs().filter(({message}) => message === 'configuration accepted').length;
	try {
		// An agent without peers reads the parts of its first document slowly.
		await waitUntil(() => accepted() > 0, {deadlineMs: firstDeadlineMs, what: 'the first document'});
		await sleep(settleMs);
		const judged = platform.judge();
		let published = 0;
		let [restCpu, changeCpu] = [0, 0];
		for (let round = 1; round <= changes; round++) {
			// Alternates idle and changing periods, so that other load on the machine affects both.
			const restBefore = readCpuSeconds(agent.pid);
			await sleep(changeEveryMs);
			const before = readCpuSeconds(agent.pid);
			published += publisher.publish(platform, round);
			await sleep(changeEveryMs);
			restCpu += before - restBefore;
			changeCpu += readCpuSeconds(agent.pid) - before;
		}

		if (accepted() !== changes + 1) {
			throw new Error(`agent accepted ${accepted()} documents instead of ${changes + 1}`);
		}

		const {reads, servedBytes} = platform.judge();
		return {
			form: publisher.name,
			documentBytes,
			publishedBytesEach: Math.round(published / changes),
			servedBytesEach: Math.round((servedBytes - judged.servedBytes) / changes),
			readsEach: Number(((reads - judged.reads) / changes).toFixed(2)),
			restPercent: Number((restCpu / measuredSeconds * 100).toFixed(2)),
			cpuPercent: Number((changeCpu / measuredSeconds * 100).toFixed(2)),
			cpuMsEach: Number(((changeCpu - restCpu) / changes * 1000).toFixed(0)),
			residentMb: Number(readStatusMb(agent.pid, 'VmRSS').toFixed(1)),
			peakMb: Number(readStatusMb(agent.pid, 'VmHWM').toFixed(1)),
		};
	} finally {
		await agent.stop();
		await Promise.all([platform.stop(), engines.stop()]);
	}
}
