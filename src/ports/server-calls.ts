/**
 * Port that builds the headers of a relayed request for a backend server and
 * interprets the headers of the server's answer. Bodies are relayed unread;
 * everything else is told to a server in headers and in separate calls.
 */
import {type Result, type ResultAsync} from 'neverthrow';
import {type Milliseconds} from './clock.js';
import {type ServerEntry} from './config.js';
import {type EngineFailure, type EngineRefusalReason, type Reservation} from './engine.js';
import {
	type HostId, type RecentIds, type RequestId, type WorkspaceId,
} from './ids.js';
import {type StatedLimit} from './request-limits.js';

/** What a caller states about its request in headers. */
export type RequestHints = {
	/** Time for which the caller waits, counted from the arrival of the request; `undefined` when not stated. */
	timeoutMs: Milliseconds | undefined;
	model: string | undefined;
	/** Tokens of the prompt; 0 where there is no prompt. */
	promptTokens: number;
	/** Maximum number of tokens of the answer. */
	maxTokens: number;
	/** Ids of the parts of the prompt that other requests may share, in order. */
	sharedParts: readonly string[];
	/** The caller's estimate of the answer's tokens: right at the median, often far off for a single request. */
	estimatedTokens: number | undefined;
	/** Present if the request continues a stream that the caller has a part of. */
	resumption?: Resumption;
};

/** What a caller states about the stream that it continues. */
export type Resumption = {
	/** Id of the caller's request whose answer brought the first event; `undefined` when not stated. */
	resumes: RequestId | undefined;
	/** Last event that the caller has; `undefined` when not stated. */
	lastEventId: string | undefined;
};

/** The KV cache of a prompt, which its prefill server holds for a short time. */
export type PromptCache = {
	server: ServerEntry;
	kvId: string;
	/** Monotonic time at which the prefill ended. */
	computedAt: Milliseconds;
};

/**
 * What a server is asked for: `whole` runs the request as it is, `prefill`
 * computes the prompt's KV cache and generates nothing, `decode` generates the
 * answer from such a cache in a reserved slot. Without a cache the decode server
 * computes the prompt itself, more slowly.
 */
export type CallStep =
	/** `lastEventId`: last event of the answer that the caller already has. */
	| {kind: 'whole'; lastEventId: string | undefined}
	| {kind: 'prefill'}
	| {kind: 'decode'; reservationId: string; cache: PromptCache | undefined; lastEventId: string | undefined};

export type OutgoingCall = {
	headers: Readonly<Record<string, string>>;
	workspace: WorkspaceId;
	/** Whether a key of the caller determined the workspace. */
	isAuthenticated: boolean;
	requestId: RequestId;
	server: ServerEntry;
	step: CallStep;
	/** Time left until the deadline. */
	deadlineInMs: Milliseconds;
};

export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** What the head of an answer shows of the call that it answers. */
export type AnswerMarks = {
	/** Id of the request or call that the answer names; `undefined` if it names none. */
	name: string | undefined;
	/** `refusal`: the server states that it did not run the request. `misdirected`: another server than the one addressed states so. `failure`: none of these. */
	kind: 'success' | 'refusal' | 'misdirected' | 'failure';
	/** Whether the server has sealed the body of the answer, as it does for each run. */
	isSealed: boolean;
};

/** What a server states about itself in an answer, independent of the request. */
export type ServerNotice = {
	/** Whether the server drains and is to get no new work. */
	isLeaving: boolean;
	/** Time for which the server asks this host to back off; `undefined` when it does not ask. */
	backoffMs: Milliseconds | undefined;
};

/** Calls to servers that separate prefill and decode. */
export type CacheCalls = {
	/** Reserves a slot and memory on a decode server before the prompt is computed. */
	reserve: (server: ServerEntry, request: {tokens: number; ttlMs: Milliseconds}, signal: AbortSignal) => ResultAsync<Reservation, EngineFailure>;
	/** Releases a reservation that won't be used. */
	release: (server: ServerEntry, reservationId: string) => ResultAsync<void, EngineFailure>;
	/** Parses the body of a prefill's answer. */
	parsePrefill: (text: string) => Result<{kvId: string; promptTokens: number}, string>;
	/** Frees a KV cache that won't be fetched. */
	dropCache: (cache: PromptCache) => ResultAsync<void, EngineFailure>;
};

/** An order to a server to change its role, with its sender. */
export type RoleOrder = {
	role: 'prefill' | 'decode';
	/** The host that sends the order. */
	host: HostId;
	/** Fencing token: an order with a lower token than the server has seen is stale. */
	fence: number;
};

/** Callbacks for the answers to calls that the port itself makes, and what earlier ones brought. */
export type ServerCallHooks = {
	/** Reservations that were granted before; a server grants each of them once. */
	granted?: RecentIds;
	onNotice: (server: ServerEntry, notice: ServerNotice) => void;
	/** Called as a call begins; returns the function that is called with the head of its answer. */
	onCall?: (server: ServerEntry) => (status: number, headers: AnswerHeaders) => void;
};

export type ServerCalls = {
	parseHints: (headers: Readonly<Record<string, string>>) => RequestHints;
	toHeaders: (call: OutgoingCall) => Record<string, string | string[]>;
	/** Reason that the server gives for not running the request; `undefined` when the answer is no such refusal. */
	toRefusal: (status: number, headers: AnswerHeaders) => EngineRefusalReason | undefined;
	/** The server's notice about itself; `undefined` when there is none, or when the answer may come from another server than the one called. */
	readNotice?: (status: number, headers: AnswerHeaders) => ServerNotice | undefined;
	/** The limit that an answer states for its server; `undefined` when the answer may come from another server than the one called. */
	readLimit?: (status: number, headers: AnswerHeaders) => StatedLimit | undefined;
	/** What an answer shows of its call; absent where answers name no request. */
	readMarks?: (status: number, headers: AnswerHeaders) => AnswerMarks;
	/** Absent where no server separates prefill and decode for relayed requests. */
	caches?: CacheCalls;
	/** Orders a server to change its role once its running work has ended; absent where servers accept no orders. */
	assignRole?: (server: ServerEntry, order: RoleOrder) => ResultAsync<void, EngineFailure>;
};
