/** Measures the time to the first token through the entry, through the bare relay, and with direct calls to the same engines. */
import {type Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {startBareRelay, type BenchEngine, type BenchEntry} from './bench-set-up.js';

export type LatencyResult = {
	streams: number;
	samples: number;
	directMs: {p50: number; p99: number};
	/** Through the bare relay, which forwards without routing decisions. */
	bareMs: {p50: number; p99: number};
	throughMs: {p50: number; p99: number};
	/** `throughMs` minus `directMs`. */
	addedMs: {p50: number; p99: number};
	/** `throughMs` minus `bareMs`. */
	overBareMs: {p50: number; p99: number};
};

type Target = {prefill: BenchEngine; decode: BenchEngine; entry: BenchEntry; maxTokens: number};

const microseconds = 1000;

/** Makes the calls of the entry directly and returns the time to the first token. */
async function measureDirect({prefill, decode, maxTokens}: Target, id: string): Promise<number> {
	const start = performance.now();
	const key = {requestId: id, attempt: 1, owner: {host: 'bench', incarnation: 1}};
	const reserved = await decode.client.reserve(key, {
		promptTokens: 7, maxTokens, ttlMs: 5000, class: 'quick',
	});
	const prefilled = await prefill.client.prefill({
		key, model: 'm', version: '1', adapter: undefined, prompt: 'Dear sir, your letter of May', class: 'quick', deadlineInMs: 5000,
	});
	const {reservationId} = reserved._unsafeUnwrap();
	await decode.client.importKv({
		key, reservationId, fromUrl: prefill.url, kvId: prefilled._unsafeUnwrap().kvId,
	});
	const stream = await decode.client.decode({
		key, reservationId, maxTokens, class: 'quick',
	});
	let firstMs = 0;
	for await (const chunk of stream._unsafeUnwrap()) {
		firstMs ||= chunk.tokens.length > 0 ? performance.now() - start : 0;
	}

	return firstMs;
}

async function measureThroughUrl(url: string, maxTokens: number, dispatcher: Agent): Promise<number> {
	const start = performance.now();
	const {body} = await request(`${url}/v1/completions`, {
		method: 'POST', dispatcher, headers: {'content-type': 'application/json'}, body: JSON.stringify({
			model: 'm', prompt: 'Dear sir, your letter of May', max_tokens: maxTokens, stream: true,
		}),
	});
	let firstMs = 0;
	for await (const piece of body as AsyncIterable<Buffer>) {
		firstMs ||= piece.length > 0 ? performance.now() - start : 0;
	}

	return firstMs;
}

/**
 * Measures latency at a number of concurrent streams. Each caller alternates between
 * direct calls, the bare relay and the entry, so that all three meet the same load.
 *
 * @param target - Engines and entry.
 * @param options - Concurrent streams, samples of each kind, and tokens per stream.
 * @returns Quantiles of each kind and their differences.
 */
export async function measureLatency(target: Omit<Target, 'maxTokens'>, options: {streams: number; samples: number; maxTokens: number}): Promise<LatencyResult> {
	const {streams, samples, maxTokens} = options;
	const dispatcher = new Agent({connections: streams, pipelining: 1});
	const direct = build();
	const bare = build();
	const through = build();
	const control = await startBareRelay({prefillUrl: target.prefill.url, decodeUrl: target.decode.url, maxTokens});
	let left = samples + (streams * 3);
	let taken = 0;

	async function call(caller: number): Promise<void> {
		for (let i = 0; left > 0; i++) {
			left--;
			const directMs = await measureDirect({...target, maxTokens}, `${caller}-${i}`);
			const bareMs = await measureThroughUrl(control.url, maxTokens, dispatcher);
			const throughMs = await measureThroughUrl(target.entry.url, maxTokens, dispatcher);
			// The first calls of each caller open connections and warm up the code.
			if (i >= 3) {
				taken++;
				direct.recordValue(Math.round(directMs * microseconds));
				bare.recordValue(Math.round(bareMs * microseconds));
				through.recordValue(Math.round(throughMs * microseconds));
			}
		}
	}

	await Promise.all(Array.from({length: streams}, async (_, caller) => call(caller)));
	await dispatcher.close();
	await control.stop();
	const quantiles = (histogram: typeof direct) => ({p50: histogram.getValueAtPercentile(50) / microseconds, p99: histogram.getValueAtPercentile(99) / microseconds});
	const [directMs, bareMs, throughMs] = [quantiles(direct), quantiles(bare), quantiles(through)];
	const toDifference = (from: {p50: number; p99: number}) => ({p50: throughMs.p50 - from.p50, p99: throughMs.p99 - from.p99});
	return {
		streams, samples: taken, directMs, bareMs, throughMs, addedMs: toDifference(directMs), overBareMs: toDifference(bareMs),
	};
}
