/** Options, faults and counts of the engine stand-in. */
import {type EngineOrder, type EngineRefusalReason, type Hold} from '../../../../src/ports/engine.js';

export type EngineRole = 'prefill' | 'decode';

/** Times are those of the engine that is imitated; `timeScale` divides them all. */
export type EngineStandInOptions = {
	id: string;
	role: EngineRole;
	model?: string;
	version?: string;
	adapters?: readonly string[];
	/** 0 takes any free port. */
	port?: number;
	bind?: string;
	/** Requests that a decode engine's memory holds. */
	slots?: number;
	/** Prefills computed at once. */
	prefillConcurrency?: number;
	prefillTokensPerSecond?: number;
	/** Cost of any prefill beside its tokens. */
	prefillBaseMs?: number;
	/** Tokens a second of one stream. */
	decodeTokensPerSecond?: number;
	/** Share by which each further stream of the batch slows a stream, 0 for none. */
	batchSlowdown?: number;
	/** Life of a KV cache after its prefill. */
	kvTtlMs?: number;
	/** Rate of the engine's own link, shared by its transfers. */
	linkBytesPerSecond?: number;
	bytesPerPromptToken?: number;
	/** Age of the numbers in load reports. */
	loadLagMs?: number;
	/** Blocks of 16 tokens in the prefix cache. */
	cacheBlocks?: number;
	cacheEventLagMs?: number;
	/** One in so many cache events is never told; 0 for none. */
	cacheEventGap?: number;
	/** Time to load a version or to change role; an adapter takes a tenth. */
	loadVersionMs?: number;
	checksFence?: boolean;
	/** Life of a generated answer that nobody has read to its end. */
	keepAnswerMs?: number;
	/** Time between steps at which streams send. */
	stepMs?: number;
	timeScale?: number;
	/** Where its own calls to other engines come from and go to, for cuts between them. */
	network?: EngineNetwork;
};

export type EngineNetwork = {
	localAddress: string;
	toUrl: (url: string) => string;
};

export type EngineSettings = Required<Omit<EngineStandInOptions, 'network'>> & Pick<EngineStandInOptions, 'network'>;

export type StreamFaultKind = 'short' | 'reset' | 'stall' | 'garbage' | 'oversized' | 'crossed' | 'duplicated' | 'skipped' | 'wrong-attempt';

/** Switches of wrong behaviour. An absent one is off; `times` counts down the calls that it hits, and absent means all. */
export type EngineFaults = {
	/** Delay before any answer, in milliseconds of real time. */
	lateMs?: number;
	/** Refusal of every call of the kinds in `on`, or of all that start work. */
	refuse?: {reason: EngineRefusalReason; on?: ReadonlyArray<'reservations' | 'prefills' | 'imports' | 'streams' | 'orders'>; retryAfterMs?: number; times?: number};
	/** What a reader of a stream gets from token `atToken` on (default 0). */
	stream?: {kind: StreamFaultKind; atToken?: number; times?: number};
	/** What happens to a transfer out of this engine after a share of its bytes (default half). */
	transfer?: {kind: 'stall' | 'reset'; atShare?: number; times?: number};
	/** Cancels whose connection is dropped and which are not done. */
	loseCancels?: {times?: number};
	/** Calls whose connection is dropped after the work was done. */
	loseAnswers?: {on: ReadonlyArray<'reservations' | 'prefills' | 'imports' | 'streams'>; times?: number};
	/** Answers of another protocol in place of JSON. */
	garbageAnswers?: {times?: number};
};

/** What the judge knows of one request on one engine. */
export type JudgedRequest = {
	/** Attempts that any call named. */
	attempts: number[];
	reservations: number;
	/** Prefills whose computation began; one that only queued is not counted. */
	prefillsStarted: number;
	prefillsFinished: number;
	decodesStarted: number;
	decodesFinished: number;
	/** Cancels that were carried out, also those that freed nothing. */
	cancels: number;
	/** Answer tokens generated, over all attempts. */
	tokens: number;
	/** Times that an `answered` list was no beginning of the right answer. */
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
	/** How the prompts of prefills that were asked for begin, by request id. */
	prompts: Record<string, string>;
	/** Reservations and prefills that were asked for, taken or not, by request id. */
	offers: Record<string, number>;
	/** Calls by name, from all callers. */
	calls: Record<string, number>;
	/** Monotonic time at which new work (reservation, prefill or stream) was last accepted. */
	lastAcceptedAtMs: number | undefined;
	peakSlotsUsed: number;
};
