/**
 * Port to a model engine. The HTTP adapter is `adapters/engine-http`, its
 * protocol is in `docs/design/002-interfaces.md`; the users' engines may differ.
 */
import {type ResultAsync} from 'neverthrow';
import {
	type AttemptNumber, type Owner, type RequestId, type ServerId,
} from './ids.js';
import {type Milliseconds} from './clock.js';
import {type ServiceClass} from './outcome.js';

/** Identifies one attempt on engines. Everything that an engine holds carries this key. */
export type AttemptKey = {
	requestId: RequestId;
	attempt: AttemptNumber;
	owner: Owner;
};

export type EngineCallOptions = {
	/** Aborts the call without cancelling the work on the engine; see {@link Engine.cancel}. */
	signal?: AbortSignal;
};

/**
 * Why a call to an engine failed.
 *
 * - `unreachable`: no connection was made, so no byte was offered.
 * - `refused`: the engine answered that it did not start the work (full, leaving, wrong model, expired reservation).
 * - `broken`: bytes were offered and the connection failed before a whole answer.
 * - `invalid`: the engine's answer broke the protocol.
 * - `gone`: the engine no longer has the KV cache (expired) or the stream (ended) of the call.
 * - `aborted`: the signal of the call aborted.
 */
export type EngineFailureKind = 'unreachable' | 'refused' | 'broken' | 'invalid' | 'gone' | 'aborted';

/** Reasons an engine gives with `refused`. */
export type EngineRefusalReason = 'full' | 'leaving' | 'wrong-model' | 'expired' | 'old-fence' | 'duplicate' | 'source-failed' | 'other';

/**
 * Thrown by the iterable of a stream when the stream fails midway; the kind of
 * `failure` is never `unreachable` or `refused`. The chunks before the error are
 * complete and in order, so the stream can be resumed from the next offset.
 */
export type EngineStreamError = Error & {failure: EngineFailure};

export type EngineFailure = {
	kind: EngineFailureKind;
	reason: EngineRefusalReason | undefined;
	server: ServerId;
	message: string;
	/** Delay after which the engine suggests a retry. */
	retryAfterMs: Milliseconds | undefined;
};

export type Reservation = {
	reservationId: string;
	/** Time until the engine drops the reservation, counted from its answer. */
	expiresInMs: Milliseconds;
};

export type PrefillRequest = {
	key: AttemptKey;
	model: string;
	version: string | undefined;
	adapter: string | undefined;
	prompt: string;
	/** Tokens of the answer that the caller already has; a retry of a broken stream continues after them. Absent means none. */
	answered?: readonly string[];
	class: ServiceClass;
	/** Time left until the deadline; the engine drops queued work when it has passed. */
	deadlineInMs: Milliseconds;
};

export type PrefillResult = {
	kvId: string;
	promptTokens: number;
	/** Prompt tokens found in the prefix cache. */
	cachedTokens: number;
	/** Size of the KV cache to transfer. */
	bytes: number;
	/** Time until the engine drops the KV cache, counted from its answer. */
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
	/** Maximum length of the whole answer, including the tokens in `answered` of the prefill. */
	maxTokens: number;
	/** Offset of the first token of the stream: the number of tokens in `answered` of the prefill. Absent means 0. */
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
	/** Set on the last chunk only. A stream that closes without a chunk with `finish` is broken, not complete. */
	finish: FinishReason | undefined;
};

/** Memory that an engine holds for an attempt. */
export type Hold = {
	requestId: RequestId;
	attempt: AttemptNumber;
	owner: Owner;
	kind: 'queued' | 'prefill' | 'kv' | 'reservation' | 'stream';
	bytes: number;
	heldForMs: Milliseconds;
	/** Connections that are reading the stream. */
	readers: number;
};

export type LoadReport = {
	server: ServerId;
	role: 'prefill' | 'decode';
	model: string;
	version: string;
	adapters: readonly string[];
	state: 'serving' | 'loading' | 'leaving';
	/** Age of the numbers when the engine answered, as stated by the engine. */
	ageMs: Milliseconds;
	slotsTotal: number;
	slotsUsed: number;
	queued: number;
	/** Prompt tokens queued or being computed, on a prefill engine. */
	queuedTokens: number;
	/** Prompt tokens a second on a prefill engine; tokens a second of one stream on a decode engine. */
	tokensPerSecond: number;
	/** Bandwidth of the link over which KV caches are transferred, bytes a second. */
	linkBytesPerSecond: number;
	/** Fencing token of the last order that the engine accepted. */
	fence: number;
};

export type EngineOrder = {
	kind: 'load-version' | 'load-adapter' | 'unload-adapter' | 'set-role';
	model: string;
	version: string | undefined;
	adapter: string | undefined;
	role: 'prefill' | 'decode' | undefined;
	/** Fencing token: the edition of the configuration that requires the order. */
	fence: number;
};

export type Engine = {
	reserve: (key: AttemptKey, request: {promptTokens: number; maxTokens: number; ttlMs: Milliseconds; class: ServiceClass}, options?: EngineCallOptions) => ResultAsync<Reservation, EngineFailure>;
	prefill: (request: PrefillRequest, options?: EngineCallOptions) => ResultAsync<PrefillResult, EngineFailure>;
	importKv: (request: ImportRequest, options?: EngineCallOptions) => ResultAsync<{bytes: number}, EngineFailure>;
	/** Starts a stream. Chunks arrive as tokens are generated; tokens that one read of the socket brings are joined into one chunk. The iterable ends normally only after a chunk with `finish`, and otherwise throws an {@link EngineStreamError}. */
	decode: (request: DecodeRequest, options?: EngineCallOptions) => ResultAsync<AsyncIterable<DecodeChunk>, EngineFailure>;
	/** Reads a running or recently ended stream again, from a token offset. */
	resume: (key: AttemptKey, offset: number, options?: EngineCallOptions) => ResultAsync<AsyncIterable<DecodeChunk>, EngineFailure>;
	/** Ends an attempt and frees everything that this server holds for it. Idempotent; success means that nothing is held any more. */
	cancel: (key: AttemptKey, options?: EngineCallOptions) => ResultAsync<void, EngineFailure>;
	listHolds: (options?: EngineCallOptions) => ResultAsync<readonly Hold[], EngineFailure>;
	load: (options?: EngineCallOptions) => ResultAsync<LoadReport, EngineFailure>;
	order: (order: EngineOrder, options?: EngineCallOptions) => ResultAsync<void, EngineFailure>;
};
