import {type Result} from 'neverthrow';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type EngineFailureKind, type EngineRefusalReason} from '../../../ports/engine.js';
import {
	type HostId, type RegionId, type ServerId, type ZoneId,
} from '../../../ports/ids.js';
import {type ServiceClass} from '../../../ports/outcome.js';
import {type SharedLoads} from '../../create-shared-loads/index.js';
import {type FleetView} from '../../../ports/view.js';

/** Why a server may not be considered, or only when nothing better is left. */
export type IneligibilityReason = 'excluded' | 'leaving' | 'paused' | 'unreachable' | 'doubted' | 'cut-off' | 'ejected' | 'returning' | MismatchReason | 'unknown-load';

/** What the server's last report says that the request does not want. */
export type MismatchReason = 'wrong-role' | 'wrong-model' | 'wrong-version' | 'no-adapter' | 'not-serving';

/** Why a server was not considered, or considered and not taken. */
export type PassedOverReason = IneligibilityReason | 'full' | 'slow' | 'other-region' | 'other-zone' | 'worse';

export type PlacementAccount = {
	pool: string;
	chosen: readonly ServerId[];
	/** Servers passed over, at most {@link maxAccountRows} of them. */
	passedOver: ReadonlyArray<{server: ServerId; reason: PassedOverReason}>;
	/** How many servers each reason kept out, among those looked at; other regions are counted whole. */
	counts: Readonly<Partial<Record<PassedOverReason, number>>>;
	/** Servers in reach that the account leaves out for its own bound. */
	notLookedAt: number;
};

/** Rows of an account; a pool of thousands is summed up in `counts`. */
export const maxAccountRows = 64;

export type PlacementRequest = {
	pool: string;
	model: string;
	/**
	 * Version of weights that a rule asks for. `undefined` takes any version on
	 * which a pair agrees, so that a pool serves on while its own version changes.
	 */
	version: string | undefined;
	adapter: string | undefined;
	promptTokens: number;
	maxTokens: number;
	class: ServiceClass;
	/** Time left in which the first token is still of use, milliseconds. */
	firstTokenBudgetMs: Milliseconds;
	/** Time between tokens that the request's rule asks for, milliseconds; half of it speaks against no server. */
	perTokenTargetMs?: Milliseconds;
	/** Hashes of the prompt's prefix blocks, each over all text up to its end. */
	prefixBlocks?: readonly string[];
	/** Servers that this request must not get, for example after a failed attempt. */
	exclude?: ReadonlySet<ServerId>;
	/** The decode server computes the prompt as well, so that the attempt is one call; heeded where servers report no loads. */
	isOneCall?: boolean;
};

export type Placement = {
	kind: 'pair';
	prefill: ServerEntry;
	decode: ServerEntry;
	/** Version of weights on both servers, as far as their reports tell. */
	version: string | undefined;
	promptTokens: number;
	prefixBlocks: readonly string[];
	/** Prompt tokens thought to be in the prefill server's prefix cache. */
	expectedCachedTokens: number;
	/** Part of `predictedFirstTokenMs` until the prefill is done. */
	predictedPrefillMs: Milliseconds;
	predictedFirstTokenMs: Milliseconds;
	/** Time expected between two tokens. */
	predictedStepMs: Milliseconds;
	/** Longest answer that the request may get, and its class, from which the length of others is learnt. */
	maxTokens: number;
	class: ServiceClass;
	/** Life to ask for the decode reservation, so that prefill and transfer fit within it. */
	reservationTtlMs: Milliseconds;
	/** Worked out only when called; keeps the view alive, so do not store it for long. */
	account: () => PlacementAccount;
};

export type PlainPlacement = {
	kind: 'plain';
	server: ServerEntry;
	account: () => PlacementAccount;
};

export type PlacementRefusalReason = 'no-config' | 'no-pool' | 'no-server' | 'no-memory' | 'paused' | 'would-miss-target';

export type PlacementRefusal = {
	reason: PlacementRefusalReason;
	message: string;
	retryAfterMs: Milliseconds;
	account: () => PlacementAccount;
};

/** What happened on a server, as an engine failure tells it or as an adapter for plain services does. */
export type ServerFailure = {
	kind: EngineFailureKind;
	reason: EngineRefusalReason | undefined;
};

export type PlacementOptions = {
	/** Zone of this host. */
	zone: ZoneId;
	/** Name of this host, by which it finds the servers to send to first; without one, all servers are alike. */
	host?: HostId;
	/** Region of a zone; the configuration's own `zones` by default. */
	regionOf?: (zone: ZoneId) => RegionId | undefined;
	/** Servers drawn at random for each role, of which the best is taken; `Infinity` looks at all. */
	draws?: number;
	/** Age at which a load report is no longer believed, milliseconds. */
	staleAfterMs?: Milliseconds;
	/** KV cache bytes for a prompt token until a prefill has told. */
	kvBytesPerToken?: number;
	/** Prompt tokens for each hash in `prefixBlocks`. */
	tokensPerBlock?: number;
	/** Milliseconds added for each server outside this host's zone. */
	crossZoneMs?: Milliseconds;
	/** Blocks that the prefix map remembers. */
	maxPrefixBlocks?: number;
	/** What other hosts have under way at a server, where hosts tell each other. */
	readPeerLoad?: SharedLoads['read'];
	/** Whether the hosts of another zone fell silent, where hosts talk to each other. */
	isZoneSilent?: SharedLoads['isZoneSilent'];
};

export type PickPair = (request: PlacementRequest, view: FleetView, now: Milliseconds, random: Random) => Result<Placement, PlacementRefusal>;

export type PlainRequest = {pool: string; exclude?: ReadonlySet<ServerId>};

export type PickPlain = (request: PlainRequest, view: FleetView, now: Milliseconds, random: Random) => Result<PlainPlacement, PlacementRefusal>;
