/** Options, faults and counts of the engine stand-in. */
import {type EngineOrder, type EngineRefusalReason, type Hold} from '../../../../src/ports/engine.js';

export type EngineRole = 'prefill' | 'decode';

/** Durations and rates are those of the imitated engine; `timeScale` speeds them up. */
export type EngineStandInOptions = {
	id: string;
	role: EngineRole;
	model?: string;
	version?: string;
	adapters?: readonly string[];
	/** 0 takes any free port. */
	port?: number;
	bind?: string;
	/** Number of requests for which a decode engine has memory. */
	slots?: number;
	/** Number of prefills computed concurrently. */
	prefillConcurrency?: number;
	prefillTokensPerSecond?: number;
	/** Fixed cost of a prefill, in addition to its tokens. */
	prefillBaseMs?: number;
	/** Tokens per second of a single stream. */
	decodeTokensPerSecond?: number;
	/** Share by which each further stream of the batch slows a stream, 0 for none. */
	batchSlowdown?: number;
	/** Lifetime of a KV cache after its prefill. */
	kvTtlMs?: number;
	/** Rate of the engine's own link, shared by its transfers. */
	linkBytesPerSecond?: number;
	bytesPerPromptToken?: number;
	/** Age of the numbers in load reports. */
	loadLagMs?: number;
	/** Blocks of 16 tokens in the prefix cache. */
	cacheBlocks?: number;
	cacheEventLagMs?: number;
	/** Every nth cache event is never reported; 0 reports all. */
	cacheEventGap?: number;
	/** Time to load a version or to change role; an adapter takes a tenth. */
	loadVersionMs?: number;
	checksFence?: boolean;
	/** Lifetime of a generated answer that no caller has read to its end. */
	keepAnswerMs?: number;
	/** Time between steps at which streams send. */
	stepMs?: number;
	timeScale?: number;
	/** Source address and URL mapping of the engine's calls to other engines, for cuts between them. */
	network?: EngineNetwork;
};

export type EngineNetwork = {
	localAddress: string;
	toUrl: (url: string) => string;
};

export type EngineSettings = Required<Omit<EngineStandInOptions, 'network'>> & Pick<EngineStandInOptions, 'network'>;

export type StreamFaultKind = 'short' | 'reset' | 'stall' | 'garbage' | 'oversized' | 'crossed' | 'duplicated' | 'skipped' | 'wrong-attempt';

/** Fault switches. An absent switch is off. `times` is the number of calls still to be affected; absent means all. */
export type EngineFaults = {
	/** Delay before any answer, in milliseconds of real time. */
	lateMs?: number;
	/** Refusal of every call of the kinds in `on`, or of all that start work. */
	refuse?: {reason: EngineRefusalReason; on?: ReadonlyArray<'reservations' | 'prefills' | 'imports' | 'streams' | 'orders'>; retryAfterMs?: number; times?: number};
	/** Fault of a stream, from token `atToken` on (default 0). */
	stream?: {kind: StreamFaultKind; atToken?: number; times?: number};
	/** Fault of a transfer out of this engine, after a share of its bytes (default half). */
	transfer?: {kind: 'stall' | 'reset'; atShare?: number; times?: number};
	/** Drops the connection of cancels without carrying them out. */
	loseCancels?: {times?: number};
	/** Drops the connection of calls after their work was done. */
	loseAnswers?: {on: ReadonlyArray<'reservations' | 'prefills' | 'imports' | 'streams'>; times?: number};
	/** Answers with HTML in place of JSON. */
	garbageAnswers?: {times?: number};
};

/** Counts of the judge for one request on one engine. */
export type JudgedRequest = {
	/** Attempts named in any call. */
	attempts: number[];
	reservations: number;
	/** Prefills whose computation began; one that only queued is not counted. */
	prefillsStarted: number;
	prefillsFinished: number;
	decodesStarted: number;
	decodesFinished: number;
	/** Cancels carried out, including those that released nothing. */
	cancels: number;
	/** Answer tokens generated, over all attempts. */
	tokens: number;
	/** Times that an `answered` list was not a prefix of the correct answer. */
	wrongContinuations: number;
};

export type WasteCause =
	| 'cancelled-in-prefill' | 'cancelled-before-transfer' | 'cancelled-in-transfer' | 'cancelled-before-decode'
	| 'expired-before-transfer' | 'expired-before-decode'
	| 'transfer-failed' | 'server-lost';

export type TakenOrder = EngineOrder & {atMs: number};

export type JudgeReport = {
	id: string;
	requests: Record<string, JudgedRequest>;
	holds: readonly Hold[];
	wasted: Partial<Record<WasteCause, number>>;
	wastedRequests: Array<{requestId: string; attempt: number; cause: WasteCause}>;
	orders: readonly TakenOrder[];
	refusedOrders: readonly TakenOrder[];
	/** Beginnings of the prompts of requested prefills, by request id. */
	prompts: Record<string, string>;
	/** Reservations and prefills requested, accepted or not, by request id. */
	offers: Record<string, number>;
	/** Calls by name, from all callers. */
	calls: Record<string, number>;
	/** Monotonic time at which new work (reservation, prefill or stream) was last accepted. */
	lastAcceptedAtMs: number | undefined;
	peakSlotsUsed: number;
};
