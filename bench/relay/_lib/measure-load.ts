/** Measures tokens a second, CPU time and memory of the entry under many streams. */
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {type BenchEntry} from './bench-set-up.js';
import {type ClientReport, type ClientWorkerData} from './client-worker.js';

export type LoadResult = {
	streams: number;
	tokensPerSecond: number;
	/** CPU time per 1,000 relayed tokens, over all threads of the process and including the start of streams. */
	cpuMsPerThousandTokens: number;
	/** Mean number of CPU cores in use. */
	cores: number;
	broken: number;
	/** Bytes of heap and buffers per open stream. */
	bytesPerStream: number;
};

const endDeadlineMs = 60_000;

function startClients(data: ClientWorkerData, threads: number): Worker[] {
	return Array.from({length: threads}, () => new Worker(new URL('client-worker.js', import.meta.url), {workerData: {...data, streams: data.streams / threads}}));
}

async function endClients(workers: readonly Worker[]): Promise<ClientReport[]> {
	return Promise.all(workers.map(async worker => {
		worker.postMessage('stop');
		const [report] = await once(worker, 'message', {signal: AbortSignal.timeout(endDeadlineMs)}) as [ClientReport];
		return report;
	}));
}

/**
 * Keeps streams open for a time and measures the resource usage of the entry.
 *
 * @param entry - Entry under test.
 * @param options - Concurrent streams, tokens per stream, duration, and number of caller threads.
 * @returns Throughput and resource usage.
 */
export async function measureLoad(entry: BenchEntry, options: {streams: number; maxTokens: number; seconds: number; threads: number}): Promise<LoadResult> {
	const {streams, maxTokens, seconds, threads} = options;
	const before = await entry.usage();
	const workers = startClients({url: entry.url, streams, maxTokens}, threads);
	await sleep(seconds * 500);
	const midway = await entry.usage();
	await sleep(seconds * 500);
	const reports = await endClients(workers);
	const after = await entry.usage();
	const whole = reports.reduce((sum, report) => sum + report.whole, 0);
	const tokens = whole * maxTokens;
	const elapsedMs = after.atMs - before.atMs;
	const cpuMs = after.cpuMs - before.cpuMs;
	return {
		streams,
		tokensPerSecond: tokens / elapsedMs * 1000,
		cpuMsPerThousandTokens: cpuMs / tokens * 1000,
		cores: cpuMs / elapsedMs,
		broken: reports.reduce((sum, report) => sum + report.broken, 0),
		bytesPerStream: (midway.heapBytes + midway.externalBytes - before.heapBytes - before.externalBytes) / streams,
	};
}
