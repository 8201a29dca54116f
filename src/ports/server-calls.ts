/**
 * How a request that is passed on is dressed for a backend server, and how the
 * server's answer is understood. Bodies go through unread; all that the system
 * says to a server beside them stands in headers and in calls of their own.
 */
import {type Result, type ResultAsync} from 'neverthrow';
import {type Milliseconds} from './clock.js';
import {type ServerEntry} from './config.js';
import {type EngineFailure, type EngineRefusalReason, type Reservation} from './engine.js';
import {type HostId, type RequestId, type WorkspaceId} from './ids.js';

/** What a caller says of its request beside the body. */
export type RequestHints = {
	/** Time for which the caller waits, counted from its request's arrival. */
	timeoutMs: Milliseconds | undefined;
	model: string | undefined;
	/** Tokens of the prompt; 0 where there is none. */
	promptTokens: number;
	/** Tokens that the answer may have at most. */
	maxTokens: number;
	/** The caller's own guess of the answer's tokens: right at the median, often far off. */
	estimatedTokens: number | undefined;
};

/** The KV cache of a prompt, as its prefill server keeps it for a moment. */
export type PromptCache = {
	server: ServerEntry;
	kvId: string;
};

/**
 * What a server is asked for: `whole` runs the request as it is, `prefill`
 * computes the prompt's KV cache and runs nothing, `decode` generates the answer
 * from such a cache in a reserved place; without a cache it computes the prompt
 * itself, more slowly.
 */
export type CallStep =
	| {kind: 'whole'}
	| {kind: 'prefill'}
	/** `lastEventId`: the caller has the answer up to this event already. */
	| {kind: 'decode'; reservationId: string; cache: PromptCache | undefined; lastEventId: string | undefined};

export type OutgoingCall = {
	headers: Readonly<Record<string, string>>;
	workspace: WorkspaceId;
	requestId: RequestId;
	server: ServerEntry;
	step: CallStep;
	/** Time left until nobody wants the answer. */
	deadlineInMs: Milliseconds;
};

export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** What a server says of itself in an answer, whatever the answer is to. */
export type ServerNotice = {
	/** It ends soon and is to get nothing new. */
	isLeaving: boolean;
	/** Time for which it asks this host to back off; `undefined` when it names none. */
	backoffMs: Milliseconds | undefined;
};

/** Calls of servers that keep prefill and decode apart. */
export type CacheCalls = {
	/** Takes a place and memory at a decode server before the prompt is computed. */
	reserve: (server: ServerEntry, request: {tokens: number; ttlMs: Milliseconds}, signal: AbortSignal) => ResultAsync<Reservation, EngineFailure>;
	/** Gives a place back that won't be used. */
	release: (server: ServerEntry, reservationId: string) => ResultAsync<void, EngineFailure>;
	/** Reads the answer of a prefill. */
	parsePrefill: (text: string) => Result<{kvId: string; promptTokens: number}, string>;
	/** Frees a KV cache that won't be fetched. */
	dropCache: (cache: PromptCache) => ResultAsync<void, EngineFailure>;
};

/** An order to a server, as the host that gives it signs it. */
export type RoleOrder = {
	role: 'prefill' | 'decode';
	/** The host that gives the order. */
	host: HostId;
	/** Fencing number: an order with a lower one than the server has seen is an old one. */
	fence: number;
};

/** Told of what servers say in answers to calls that the port itself makes. */
export type ServerCallHooks = {
	onNotice: (server: ServerEntry, notice: ServerNotice) => void;
};

export type ServerCalls = {
	parseHints: (headers: Readonly<Record<string, string>>) => RequestHints;
	toHeaders: (call: OutgoingCall) => Record<string, string | string[]>;
	/** Why a server says that it did not run the request; `undefined` when it says no such thing. */
	toRefusal: (status: number, headers: AnswerHeaders) => EngineRefusalReason | undefined;
	/** What the server says of itself; `undefined` when it says nothing, or when it may not be the one that was called. */
	readNotice?: (status: number, headers: AnswerHeaders) => ServerNotice | undefined;
	/** Whether the answer belongs to the request; a server may send an answer again, where the next one is expected. */
	isAnswerTo: (requestId: RequestId, headers: AnswerHeaders) => boolean;
	/** Absent where no server keeps prefill and decode apart for passed-on requests. */
	caches?: CacheCalls;
	/** Tells a server to change its role once its running work has ended; absent where servers take no orders. */
	assignRole?: (server: ServerEntry, order: RoleOrder) => ResultAsync<void, EngineFailure>;
};
