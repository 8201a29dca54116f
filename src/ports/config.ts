/**
 * The accepted configuration as decisions see it: parsed, validated, immutable.
 * The text form (YAML or JSON), its validation and its sealing live in
 * `domain/parse-config` and neighbours.
 */
import {
	type HostId, type RegionId, type ServerId, type WorkspaceId, type ZoneId,
} from './ids.js';
import {type ServiceClass} from './outcome.js';

/** What an engine does: compute the KV cache of a prompt, generate from one, or serve plain HTTP. */
export type ServerRole = 'prefill' | 'decode' | 'plain';

export type ServerEntry = {
	id: ServerId;
	/** Name by which the server knows itself, where `id` names one start of it. */
	name?: string;
	zone: ZoneId;
	/** `http://IP:port`. */
	url: string;
	role: ServerRole;
	pool: string;
	/** Requests that one decode engine's memory holds, or concurrent prefills; a default for engines that report none. */
	slots: number;
	/** Tokens that a model server's memory holds; absent where it is counted in `slots` alone. */
	memoryTokens?: number;
	/** Whether the server refuses an order that carries an old fencing number. */
	checksFence: boolean;
};

export type HostEntry = {
	/** Slot name; stable across replacement of the machine that fills it. */
	id: HostId;
	zone: ZoneId;
};

export type ZoneEntry = {
	id: ZoneId;
	region: RegionId;
};

/**
 * Whether loading weights may leave a pool or zone without a pair of prefill
 * and decode server for a while: `keep-serving` waits instead, `allow-gap` does
 * not.
 */
export type RolloutPolicy = 'keep-serving' | 'allow-gap';

export type PoolEntry = {
	name: string;
	kind: 'model' | 'plain';
	/** Model served by a `model` pool. */
	model: string | undefined;
	/** Version of weights wanted on each server of the pool. */
	version: string | undefined;
	adapters: readonly string[];
	/** Classes that may be sent here. A quick rule that sends to a batch-only pool is an error. */
	classes: readonly ServiceClass[];
	/** `keep-serving` when absent. */
	rollout?: RolloutPolicy;
	/** Tokens that the memory of each of the pool's model servers holds, where the platform tells it of the pool. */
	memoryTokens?: number;
	/** Longest life of a reservation that the pool's servers grant, where they tell it. */
	reservationMs?: number;
	/** Time that a server of the pool takes to change between prefill and decode, milliseconds; absent where it can't be told to. */
	roleChangeMs?: number;
	/** Whether the pool's servers are known by this host's own requests alone: nobody polls their loads. */
	isUnreported?: boolean;
};

export type LatencyTarget = {
	/** Time to the first token, milliseconds. */
	firstTokenMs: number;
	/** Time between tokens, milliseconds. */
	perTokenMs: number;
	/** Time to the complete answer, milliseconds; the deadline of a request without its own. */
	completeMs: number;
};

/** What a rule matches; an absent condition matches everything, and all present ones must hold. */
export type RuleWhen = {
	workspace?: readonly WorkspaceId[];
	model?: readonly string[];
	/** Value of the `Host` header, in lower case. */
	host?: string;
	/** Path prefix, for example `/desk/`. */
	path?: string;
	/** Header name (lower case) to required value; `*` means present. */
	headers?: Readonly<Record<string, string>>;
	/** Class asked for by the caller in `x-service-class`. */
	class?: ServiceClass;
	promptTokensAtLeast?: number;
	promptTokensBelow?: number;
	zone?: readonly ZoneId[];
};

/** How requests are passed on whose bodies the system does not read. */
export type RelayPolicy = {
	/** Servers to which one request may be sent, 1 at least. */
	attempts: number;
	/** Whether an answer that broke off may be continued by another server behind its last event. */
	isResumable: boolean;
	/** Time without a first byte after which callers are taken to leave, milliseconds. */
	patienceMs: number;
	/** Pools that share the requests by weight; empty means the rule's own pool. */
	split: ReadonlyArray<{pool: string; weight: number}>;
};

export type RuleThen = {
	/** Present where requests are passed on as they are, also to servers of models. */
	relay?: RelayPolicy;
	pool: string;
	class: ServiceClass;
	/** Whether the request may be run again after a backend server may have started it. */
	repeatable: boolean;
	target: LatencyTarget;
	/** Requests of this rule that one host lets wait. */
	queueLimit: number;
	/** Share by weight between versions of weights; empty means the pool's own version. */
	versions: ReadonlyArray<{version: string; weight: number}>;
	adapter: string | undefined;
};

export type Rule = {
	name: string;
	when: RuleWhen;
	then: RuleThen;
};

export type CallerBounds = {
	maxBodyBytes: number;
	/** Time for which an idle connection of a caller stays open. */
	keepAliveTimeoutMs: number;
};

export type Config = {
	zones: readonly ZoneEntry[];
	hosts: readonly HostEntry[];
	servers: readonly ServerEntry[];
	pools: readonly PoolEntry[];
	rules: readonly Rule[];
	/** Caller token digests (SHA-256, hex) to workspace; empty means callers name their workspace in `x-workspace`. */
	callerTokens: Readonly<Record<string, WorkspaceId>>;
	/** Bounds of what callers may send, where the publisher sets them; the host's settings otherwise. */
	callers?: CallerBounds;
	/** Bytes a second at which the weight store may be read, over the whole fleet. */
	weightStoreBytesPerSecond: number;
};

/**
 * Orders two configuration documents: by edition, then by the platform's
 * revision, then by digest so that every host picks the same of two rivals.
 */
export type ConfigVersion = {
	/** Counts accepted publications; a sealed document carries its own. */
	edition: number;
	/** Revision at which the platform served it; 0 where unknown. */
	revision: number;
	/** SHA-256 of the document text, hex. */
	digest: string;
};

/** A part of a document as the root document names it; the document's digest covers it. */
export type NamedPart = {
	name: string;
	/** SHA-256 of the part's text, hex. */
	sha256: string;
	/** Length of the part's text in UTF-8. */
	bytes: number;
};

/** A part with its text, which was checked against digest and length. */
export type ConfigPart = NamedPart & {
	text: string;
};

/** Looks for the text of a part; `undefined` when it is not there. */
export type FindPart = (part: NamedPart) => string | undefined;

export type AcceptedConfig = {
	version: ConfigVersion;
	config: Config;
	/** The document as it was published, byte for byte; of a document in parts its root. */
	text: string;
	/** The parts in the root's order; empty or absent for a document in one file. */
	parts?: readonly ConfigPart[];
};
