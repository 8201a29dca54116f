/** Shared by the tests of the engine interface: stand-ins, clients for them, and the steps of an attempt. */
import assert from 'node:assert/strict';
import {createEngineHttp, type EngineHttp, type EngineHttpOptions} from '../../../src/adapters/engine-http/index.js';
import {type AttemptKey, type EngineFailureKind, type EngineStreamError} from '../../../src/ports/engine.js';
import {startEngineStandIn, type EngineStandInOptions} from '../../stand-ins/engine/index.js';

export const owner = {host: 'dvorana-a-1', incarnation: 7};
export const prompt = 'Spoštovani, v priponki pošiljamo odločbo. '.repeat(12);
const stops: Array<() => Promise<void>> = [];
let requests = 0;

/** Registers a function that {@link stopAll} calls. */
export const stopAtEnd = (stop: () => Promise<void>): void => {
	stops.push(stop);
};

/** Stops everything that the test file has started. */
export const stopAll = async (): Promise<void> => {
	for (const stop of stops) {
		await stop();
	}
};

/** Creates the key of an attempt for a request id that no other test uses. */
export const toKey = (attempt = 1): AttemptKey => {
	requests += 1;
	return {requestId: `letter-${requests}`, attempt, owner};
};

/** Creates a client that {@link stopAll} closes. */
export const toClient = (server: {id: string; url: string}, options: Partial<EngineHttpOptions> = {}): EngineHttp => {
	const client = createEngineHttp({server, streamIdleMs: 1000, ...options});
	stops.push(client.close);
	return client;
};

export const reserve = async (client: EngineHttp, key: AttemptKey, signal?: AbortSignal) => client.reserve(key, {
	promptTokens: 100, maxTokens: 30, ttlMs: 5000, class: 'quick',
}, signal && {signal});

/** Starts one engine of each role, and a client for each. */
export const startPair = async (options: Partial<EngineStandInOptions> = {}) => {
	const prefillEngine = await startEngineStandIn({...options, id: 'p1', role: 'prefill'});
	const decodeEngine = await startEngineStandIn({
		decodeTokensPerSecond: 300, ...options, id: 'd1', role: 'decode',
	});
	stops.push(prefillEngine.stop, decodeEngine.stop);
	const dropped: string[] = [];
	const prefill = toClient(prefillEngine);
	const decode = toClient(decodeEngine, {onDropped: cause => dropped.push(cause)});
	return {
		prefillEngine, decodeEngine, prefill, decode, dropped,
	};
};

export type Pair = Awaited<ReturnType<typeof startPair>>;

export const runPrefill = async ({prefill}: Pair, key: AttemptKey, answered: readonly string[] = []) => prefill.prefill({
	key, model: 'post-summary', version: undefined, adapter: undefined, prompt, answered, class: 'quick', deadlineInMs: 5000,
});

/** Reserves, prefills and transfers, so that the stream of the attempt can be opened. */
export const prepareDecode = async (pair: Pair, key: AttemptKey, answered: readonly string[] = []): Promise<string> => {
	const reserved = await reserve(pair.decode, key);
	const {reservationId} = reserved._unsafeUnwrap();
	const prefilled = await runPrefill(pair, key, answered);
	const imported = await pair.decode.importKv({
		key, reservationId, fromUrl: pair.prefillEngine.url, kvId: prefilled._unsafeUnwrap().kvId,
	});
	assert.ok(imported.isOk(), JSON.stringify(imported));
	return reservationId;
};

/** Reads a stream into `got`, and returns the kind of failure with which the stream ended, if any. */
export const readInto = async (got: string[], stream: AsyncIterable<{offset: number; tokens: readonly string[]}>): Promise<EngineFailureKind | undefined> => {
	try {
		for await (const chunk of stream) {
			assert.equal(chunk.offset, got.length);
			got.push(...chunk.tokens);
		}

		return undefined;
	} catch (error) {
		return (error as EngineStreamError).failure.kind;
	}
};

export const maxTokens = 30;
