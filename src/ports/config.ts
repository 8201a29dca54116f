/**
 * The accepted configuration as the domain uses it: parsed, validated, immutable.
 * The text form (YAML or JSON), its validation and its sealing live in
 * `domain/parse-config` and the folders beside it.
 */
import {
	type HostId, type RegionId, type ServerId, type SoftwareVersion, type WorkspaceId, type ZoneId,
} from './ids.js';
import {type ServiceClass} from './outcome.js';
import {bytesPerMebibyte} from './units.js';

/** What an engine does: compute the KV cache of a prompt, generate from one, or serve plain HTTP. */
export type ServerRole = 'prefill' | 'decode' | 'plain';

export type ServerEntry = {
	id: ServerId;
	/** Name that the server has across restarts; present where `id` identifies a single start of the server. */
	name?: string;
	zone: ZoneId;
	/** `http://IP:port`. */
	url: string;
	role: ServerRole;
	pool: string;
	/** Requests that fit into a decode engine's memory, or concurrent prefills; the default for engines that don't report a number. */
	slots: number;
	/** Tokens that fit into a model server's memory; absent where capacity is counted in `slots` alone. */
	memoryTokens?: number;
	/** Whether the server refuses an order that carries a stale fencing token. */
	checksFence: boolean;
	/** Version of the server's software, not of the weights that it has loaded; absent where it is not published. */
	softwareVersion?: SoftwareVersion;
};

export type HostEntry = {
	/** Slot name; stays the same when the machine in the slot is replaced. */
	id: HostId;
	zone: ZoneId;
};

export type ZoneEntry = {
	id: ZoneId;
	region: RegionId;
};

/**
 * Whether loading weights may leave a pool or zone without a pair of prefill
 * and decode servers for a while. With `keep-serving` the load waits until that
 * can't happen; with `allow-gap` it does not wait.
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
	/** Service classes that the pool accepts. A rule of class `quick` whose pool accepts `batch` alone is an error. */
	classes: readonly ServiceClass[];
	/** `keep-serving` when absent. */
	rollout?: RolloutPolicy;
	/** Tokens that fit into the memory of each of the pool's model servers; absent where the platform does not publish it for the pool. */
	memoryTokens?: number;
	/** Longest lifetime of a reservation on the pool's servers, milliseconds; absent where it is not published. */
	reservationMs?: number;
	/** Time that a server of the pool takes to change between prefill and decode, milliseconds; absent where servers can't be told to change. */
	roleChangeMs?: number;
	/** Whether no host polls the loads of the pool's servers, so that this host knows only the load of its own requests. */
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

/** Conditions of a rule. An absent condition matches everything, and all present ones must hold. */
export type RuleWhen = {
	workspace?: readonly WorkspaceId[];
	model?: readonly string[];
	/** Value of the `Host` header, in lower case. */
	host?: string;
	/** Path prefix, for example `/desk/`. */
	path?: string;
	/** Header name (lower case) to required value; `*` means present. */
	headers?: Readonly<Record<string, string>>;
	/** Class that the caller requests in `x-service-class`. */
	class?: ServiceClass;
	promptTokensAtLeast?: number;
	promptTokensBelow?: number;
	zone?: readonly ZoneId[];
};

/** How requests are relayed without reading their bodies. */
export type RelayPolicy = {
	/** Maximum number of servers to which one request is sent; at least 1. */
	attempts: number;
	/** Whether another server may resume a broken stream after its last event. */
	isResumable: boolean;
	/** Time without a first byte after which callers are assumed to give up, milliseconds. */
	patienceMs: number;
	/** Pools that share the requests by weight; empty means the rule's own pool. */
	split: ReadonlyArray<{pool: string; weight: number}>;
};

/** What a workspace may use of all hosts together: a token bucket. */
export type WorkspaceLimit = {
	/** `tokens`: a request counts as its prompt tokens and the most tokens of its answer. */
	unit: 'requests' | 'tokens';
	/** Sustained rate, units a second. */
	perSecond: number;
	/** Units that may be used at once after a time without use. */
	burst: number;
	/** Tokens that a request counts as if it states none. */
	unstatedTokens: number;
};

export type WorkspaceTerms = {
	/** Class of all requests of the workspace; takes precedence over the class of the rule. */
	class?: ServiceClass;
	/** Absent where the workspace may use any amount. */
	limit?: WorkspaceLimit;
};

export type RuleThen = {
	/** Whether callers need no key. */
	isPublic?: boolean;
	/** Present where requests are relayed unread, to model servers too. */
	relay?: RelayPolicy;
	pool: string;
	class: ServiceClass;
	/** Whether the request is idempotent: it may be sent again although a backend server may have started it. */
	repeatable: boolean;
	target: LatencyTarget;
	/** Requests of this rule that may wait on one host. */
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

/** Largest limit on the head of a request; hosts accept heads of this size from each other. */
export const maxHeaderLimitBytes = 16 * bytesPerMebibyte;

/** Limits for callers; where one is absent, the host's setting applies. */
export type CallerBounds = {
	/** Bytes of the head of a request; {@link maxHeaderLimitBytes} at most. */
	maxHeaderBytes?: number;
	maxBodyBytes?: number;
	/** Time for the head of a request, milliseconds. */
	headersTimeoutMs?: number;
	/** Time for which an idle connection of a caller stays open, milliseconds. */
	keepAliveTimeoutMs?: number;
};

export type Config = {
	zones: readonly ZoneEntry[];
	hosts: readonly HostEntry[];
	servers: readonly ServerEntry[];
	pools: readonly PoolEntry[];
	rules: readonly Rule[];
	/** Workspaces by the digest (SHA-256, hex) of the caller's key; a workspace may have several keys. When empty and without `workspaces`, callers name their workspace in `x-workspace`. */
	callerTokens: Readonly<Record<string, WorkspaceId>>;
	/** Terms of the workspaces; where present, callers need a key even if no key is left. */
	workspaces?: Readonly<Record<WorkspaceId, WorkspaceTerms>>;
	/** Limits for callers that the publisher sets; where absent, the host's settings apply. */
	callers?: CallerBounds;
	/** Bytes a second that the whole fleet together may read from the weight store. */
	weightStoreBytesPerSecond: number;
};

/**
 * Version by which configuration documents are ordered: by edition, then by the
 * platform's revision, then by digest, so that every host picks the same of two
 * concurrent documents.
 */
export type ConfigVersion = {
	/** Number of the publication, rising; stated in sealed documents. */
	edition: number;
	/** Revision at which the platform served the document; 0 where unknown. */
	revision: number;
	/** SHA-256 of the document text, hex. */
	digest: string;
};

/** Reference to a part in a root document. The document's digest covers it. */
export type NamedPart = {
	name: string;
	/** SHA-256 of the part's text, hex. */
	sha256: string;
	/** Length of the part's text in UTF-8. */
	bytes: number;
};

/** A part with its text, verified against digest and length. */
export type ConfigPart = NamedPart & {
	text: string;
};

/** Finds the text of a part; `undefined` when the part is missing. */
export type FindPart = (part: NamedPart) => string | undefined;

export type AcceptedConfig = {
	version: ConfigVersion;
	config: Config;
	/** The document as published, byte for byte; for a document in parts, its root. */
	text: string;
	/** The parts in the root's order; empty or absent for a document in one file. */
	parts?: readonly ConfigPart[];
};
