/**
 * What the system needs of a model engine. The HTTP adapter is
 * `adapters/engine-http`; the protocol it speaks is in
 * `docs/design/002-interfaces.md`, and the users' engines may differ.
 */
import {type ResultAsync} from 'neverthrow';
import {
	type AttemptNumber, type Owner, type RequestId, type ServerId,
} from './ids.js';
import {type Milliseconds} from './clock.js';
import {type ServiceClass} from './outcome.js';

/** Names one attempt on engines; everything an engine holds carries it. */
export type AttemptKey = {
	requestId: RequestId;
	attempt: AttemptNumber;
	owner: Owner;
};

export type EngineCallOptions = {
	/** Aborts the call; it does not cancel the work, see {@link Engine.cancel}. */
	signal?: AbortSignal;
};

/**
 * Why a call to an engine failed.
 *
 * - `unreachable`: no connection was made, so no byte was offered.
 * - `refused`: the engine said that it did not start the work (full, leaving, wrong model, expired reservation).
 * - `broken`: bytes were offered and the connection failed before a whole answer.
 * - `invalid`: the engine's answer broke the protocol.
 * - `gone`: the engine no longer has what was asked for (expired KV cache, ended stream).
 * - `aborted`: the caller's own signal.
 */
export type EngineFailureKind = 'unreachable' | 'refused' | 'broken' | 'invalid' | 'gone' | 'aborted';

/** Reasons an engine gives with `refused`. */
export type EngineRefusalReason = 'full' | 'leaving' | 'wrong-model' | 'expired' | 'old-fence' | 'duplicate' | 'source-failed' | 'other';

/**
 * What the iterable of a stream throws when the stream fails midway; `failure`
 * is never `unreachable` or `refused`. Chunks that were handed out before are
 * right and in order, so the next offset is the one to resume from.
 */
export type EngineStreamError = Error & {failure: EngineFailure};

export type EngineFailure = {
	kind: EngineFailureKind;
	reason: EngineRefusalReason | undefined;
	server: ServerId;
	message: string;
	/** Delay after which the engine suggests to come back. */
	retryAfterMs: Milliseconds | undefined;
};

export type Reservation = {
	reservationId: string;
	/** Time left before the engine drops it, at the moment of the answer. */
	expiresInMs: Milliseconds;
};

export type PrefillRequest = {
	key: AttemptKey;
	model: string;
	version: string | undefined;
	adapter: string | undefined;
	prompt: string;
	/** Tokens of the answer that the caller already has; a re-run after a break continues behind them. Absent means none. */
	answered?: readonly string[];
	class: ServiceClass;
	/** Time left until the result is worthless; the engine drops queued work past it. */
	deadlineInMs: Milliseconds;
};

export type PrefillResult = {
	kvId: string;
	promptTokens: number;
	/** Prompt tokens found in the prefix cache. */
	cachedTokens: number;
	/** Size of the KV cache to transfer. */
	bytes: number;
	/** Life left of the KV cache at the moment of the answer. */
	expiresInMs: Milliseconds;
};

export type ImportRequest = {
	key: AttemptKey;
	reservationId: string;
	/** Base URL of the prefill server, from which the decode server pulls. */
	fromUrl: string;
	kvId: string;
};

export type DecodeRequest = {
	key: AttemptKey;
	reservationId: string;
	/** Length of the whole answer, tokens that were `answered` before included. */
	maxTokens: number;
	/** Offset of the first token that the stream must bring: the number of tokens `answered` to the prefill. Absent means 0. */
	answerOffset?: number;
	class: ServiceClass;
};

/** Why generation ended. */
export type FinishReason = 'stop' | 'length';

/** One piece of a generated answer. Offsets count tokens from the start of the answer. */
export type DecodeChunk = {
	requestId: RequestId;
	attempt: AttemptNumber;
	/** Position of the first token of `tokens`. */
	offset: number;
	tokens: readonly string[];
	/** Set on the last chunk alone. A stream that closes without it is broken, not complete. */
	finish: FinishReason | undefined;
};

/** A piece of memory that an engine holds for somebody. */
export type Hold = {
	requestId: RequestId;
	attempt: AttemptNumber;
	owner: Owner;
	kind: 'queued' | 'prefill' | 'kv' | 'reservation' | 'stream';
	bytes: number;
	heldForMs: Milliseconds;
	/** Connections that read the stream now. */
	readers: number;
};

export type LoadReport = {
	server: ServerId;
	role: 'prefill' | 'decode';
	model: string;
	version: string;
	adapters: readonly string[];
	state: 'serving' | 'loading' | 'leaving';
	/** Age of the numbers at the moment of the answer, as the engine states it. */
	ageMs: Milliseconds;
	slotsTotal: number;
	slotsUsed: number;
	queued: number;
	/** Prompt tokens waiting or in work, on a prefill engine. */
	queuedTokens: number;
	/** Prompt tokens a second, on a prefill engine; tokens a second of one stream, on a decode engine. */
	tokensPerSecond: number;
	/** Bytes a second of the link through which KV caches come and go. */
	linkBytesPerSecond: number;
	/** Fencing number of the last order taken. */
	fence: number;
};

export type EngineOrder = {
	kind: 'load-version' | 'load-adapter' | 'unload-adapter' | 'set-role';
	model: string;
	version: string | undefined;
	adapter: string | undefined;
	role: 'prefill' | 'decode' | undefined;
	/** Edition of the configuration from which the order follows. */
	fence: number;
};

export type Engine = {
	reserve: (key: AttemptKey, request: {promptTokens: number; maxTokens: number; ttlMs: Milliseconds; class: ServiceClass}, options?: EngineCallOptions) => ResultAsync<Reservation, EngineFailure>;
	prefill: (request: PrefillRequest, options?: EngineCallOptions) => ResultAsync<PrefillResult, EngineFailure>;
	importKv: (request: ImportRequest, options?: EngineCallOptions) => ResultAsync<{bytes: number}, EngineFailure>;
	/** Starts a stream; chunks come as they are generated, several of one read as one. The iterable ends normally only after a chunk with `finish`, and otherwise throws an {@link EngineStreamError}. */
	decode: (request: DecodeRequest, options?: EngineCallOptions) => ResultAsync<AsyncIterable<DecodeChunk>, EngineFailure>;
	/** Reads a running or just ended stream again, from a token offset. */
	resume: (key: AttemptKey, offset: number, options?: EngineCallOptions) => ResultAsync<AsyncIterable<DecodeChunk>, EngineFailure>;
	/** Ends an attempt and frees all it holds on this server. Idempotent; success means that nothing is held. */
	cancel: (key: AttemptKey, options?: EngineCallOptions) => ResultAsync<void, EngineFailure>;
	listHolds: (options?: EngineCallOptions) => ResultAsync<readonly Hold[], EngineFailure>;
	load: (options?: EngineCallOptions) => ResultAsync<LoadReport, EngineFailure>;
	order: (order: EngineOrder, options?: EngineCallOptions) => ResultAsync<void, EngineFailure>;
};
