/**
 * Measures the cost of the relay: added time to the first token, CPU time per token,
 * tokens a second, and memory per stream. Engines, callers and entry run in separate
 * threads and processes on this machine.
 */
import {
	startBenchEntry, startEngine, type BenchEngine, type BenchEntry,
} from './_lib/bench-set-up.js';
import {measureLatency, type LatencyResult} from './_lib/measure-latency.js';
import {measureLoad, type LoadResult} from './_lib/measure-load.js';

const toFixed = (value: number, digits = 2): string => value.toFixed(digits);

type Target = {prefill: BenchEngine; decode: BenchEngine; entry: BenchEntry};

async function withEntry<T>(intervalMs: number, decodes: number, use: (target: Target) => Promise<T>): Promise<T> {
	const prefill = await startEngine({id: 'p1', role: 'prefill', intervalMs});
	const decoders = await Promise.all(Array.from({length: decodes}, async (_, i) => startEngine({id: `d${i}`, role: 'decode', intervalMs})));
	const entry = await startBenchEntry([prefill, ...decoders]);
	try {
		return await use({prefill, decode: decoders[0]!, entry});
	} finally {
		await entry.stop();
		await Promise.all([prefill, ...decoders].map(async engine => engine.stop()));
	}
}

function printLatency(result: LatencyResult): void {
	const {streams, samples} = result;
	const toText = (name: string, {p50, p99}: {p50: number; p99: number}) => `${name} p50 ${toFixed(p50)} p99 ${toFixed(p99)} ms`;
	console.log([
		`first token at ${streams} streams (${samples} samples): ${toText('direct', result.directMs)}`,
		toText('through a bare relay', result.bareMs),
		toText('through the entry', result.throughMs),
		toText('added', result.addedMs),
		toText('over the bare relay', result.overBareMs),
	].join('; '));
}

function printLoad(name: string, result: LoadResult): void {
	const {streams, tokensPerSecond, cpuMsPerThousandTokens, cores, broken, bytesPerStream} = result;
	console.log([
		`${name}, ${streams} streams: ${Math.round(tokensPerSecond)} tokens/s`,
		`${toFixed(cpuMsPerThousandTokens)} ms of CPU time per 1,000 tokens`,
		`${toFixed(cores)} cores`,
		`${Math.round(bytesPerStream / 1024)} KiB per stream`,
		`${broken} broken`,
	].join(', '));
}

/** Runs all measurements of the relay, prints them and returns them. */
export async function runRelayBench(): Promise<{latency: LatencyResult[]; loads: Record<string, LoadResult>}> {
	const levels = [
		{streams: 1, samples: 200, maxTokens: 5},
		{streams: 16, samples: 800, maxTokens: 30},
		{streams: 64, samples: 1500, maxTokens: 100},
	];
	const latency = await withEntry(5, 1, async target => {
		const results: LatencyResult[] = [];
		for (const level of levels) {
			const result = await measureLatency(target, level);
			printLatency(result);
			results.push(result);
		}

		return results;
	});
	const loads: Record<string, LoadResult> = {};
	loads.saturated = await withEntry(0, 2, async ({entry}) => {
		await measureLoad(entry, {
			streams: 64, maxTokens: 4000, seconds: 2, threads: 2,
		});
		return measureLoad(entry, {
			streams: 64, maxTokens: 4000, seconds: 8, threads: 2,
		});
	});
	printLoad('as fast as the entry reads', loads.saturated);
	loads.paced = await withEntry(20, 2, async ({entry}) => measureLoad(entry, {
		streams: 400, maxTokens: 200, seconds: 8, threads: 2,
	}));
	printLoad('one token every 20 ms', loads.paced);
	loads.idle = await withEntry(1000, 2, async ({entry}) => measureLoad(entry, {
		streams: 2000, maxTokens: 10, seconds: 8, threads: 2,
	}));
	printLoad('one token a second', loads.idle);
	return {latency, loads};
}
