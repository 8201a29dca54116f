import {type Result} from 'neverthrow';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type EngineFailureKind, type EngineRefusalReason} from '../../../ports/engine.js';
import {
	type HostId, type RegionId, type ServerId, type ZoneId,
} from '../../../ports/ids.js';
import {type ServiceClass} from '../../../ports/outcome.js';
import {type SharedLoads} from '../../create-shared-loads/index.js';
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {type FleetView} from '../../../ports/view.js';

/** Why a server is not eligible, or eligible only when no better one is left. */
export type IneligibilityReason = 'excluded' | 'leaving' | 'paused' | 'limited' | 'unreachable' | 'doubted' | 'cut-off' | 'ejected' | 'returning' | MismatchReason | 'unknown-load';

/** How the server's last report differs from what the request requires. */
export type MismatchReason = 'wrong-role' | 'wrong-model' | 'wrong-version' | 'no-adapter' | 'not-serving';

/** Why a server was not eligible, or eligible and not chosen. */
export type PassedOverReason = IneligibilityReason | 'full' | 'slow' | 'other-region' | 'other-zone' | 'worse';

export type PlacementAccount = {
	pool: string;
	chosen: readonly ServerId[];
	/** Servers passed over, at most {@link maxAccountRows} of them. */
	passedOver: ReadonlyArray<{server: ServerId; reason: PassedOverReason}>;
	/** Number of examined servers that each reason excluded; for other regions, all servers. */
	counts: Readonly<Partial<Record<PassedOverReason, number>>>;
	/** Number of servers in the region that were not examined, because the account is bounded. */
	notLookedAt: number;
};

/** Maximum number of rows in an account; for larger pools `counts` has the totals. */
export const maxAccountRows = 64;

export type PlacementRequest = {
	pool: string;
	model: string;
	/**
	 * Version of weights that a rule asks for. `undefined` accepts any version that
	 * both servers of a pair have, so that a pool keeps serving during a rollout.
	 */
	version: string | undefined;
	adapter: string | undefined;
	promptTokens: number;
	maxTokens: number;
	class: ServiceClass;
	/** Time left until the first token would be too late, milliseconds. */
	firstTokenBudgetMs: Milliseconds;
	/** Target time between tokens from the request's rule, milliseconds; a server within half of it is never penalised as slow. */
	perTokenTargetMs?: Milliseconds;
	/** Hashes of the prompt's prefix blocks, each over the prompt from its start to the end of the block. */
	prefixBlocks?: readonly string[];
	/** Servers that this request must not get, for example after a failed attempt. */
	exclude?: ReadonlySet<ServerId>;
	/** Where the stream began that the servers are to continue; absent for a stream that begins. */
	origin?: StreamOrigin | undefined;
	/** Whether the decode server also computes the prompt, so that the attempt is one call; only honoured where servers report no loads. */
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
	/** Prompt tokens expected in the prefill server's prefix cache. */
	expectedCachedTokens: number;
	/** Part of `predictedFirstTokenMs` up to the end of the prefill. */
	predictedPrefillMs: Milliseconds;
	predictedFirstTokenMs: Milliseconds;
	/** Expected time between two tokens. */
	predictedStepMs: Milliseconds;
	/** Longest answer that the request allows; with its class, the basis for predicting the length of other answers. */
	maxTokens: number;
	class: ServiceClass;
	/** Lifetime to request for the decode reservation, long enough for prefill and transfer. */
	reservationTtlMs: Milliseconds;
	/** Computed when called; the function holds a reference to the view, so don't keep it for long. */
	account: () => PlacementAccount;
};

export type PlainPlacement = {
	kind: 'plain';
	server: ServerEntry;
	/** Level of the server's cooldown: 0 normally, 1 if its zone is in cooldown, 2 if the server itself is. */
	cooldown: 0 | 1 | 2;
	account: () => PlacementAccount;
};

export type PlacementRefusalReason = 'no-config' | 'no-pool' | 'no-server' | 'no-memory' | 'paused' | 'limited' | 'would-miss-target';

export type PlacementRefusal = {
	reason: PlacementRefusalReason;
	message: string;
	retryAfterMs: Milliseconds;
	account: () => PlacementAccount;
};

/** How a call to a server failed, as reported by the engine or by the adapter for plain services. */
export type ServerFailure = {
	kind: EngineFailureKind;
	reason: EngineRefusalReason | undefined;
};

export type PlacementOptions = {
	/** Zone of this host. */
	zone: ZoneId;
	/** Name of this host, which determines its subset of servers; without a name there are no subsets. */
	host?: HostId;
	/** Region of a zone; the configuration's own `zones` by default. */
	regionOf?: (zone: ZoneId) => RegionId | undefined;
	/** Number of servers sampled at random for each role, of which the best is taken; `Infinity` examines all. */
	draws?: number;
	/** Age at which a load report is stale, milliseconds. */
	staleAfterMs?: Milliseconds;
	/** KV cache bytes per prompt token, assumed until a prefill has reported its size. */
	kvBytesPerToken?: number;
	/** Prompt tokens per hash in `prefixBlocks`. */
	tokensPerBlock?: number;
	/** Milliseconds added for each server outside this host's zone. */
	crossZoneMs?: Milliseconds;
	/** Maximum number of blocks in the prefix map. */
	maxPrefixBlocks?: number;
	/** Reads the in-flight load of other hosts at a server, where hosts exchange it. */
	readPeerLoad?: SharedLoads['read'];
	/** Whether the hosts of another zone have stopped sending messages, where hosts exchange messages. */
	isZoneSilent?: SharedLoads['isZoneSilent'];
};

export type PickPair = (request: PlacementRequest, view: FleetView, now: Milliseconds, random: Random) => Result<Placement, PlacementRefusal>;

export type PlainRequest = Pick<PlacementRequest, 'pool' | 'exclude' | 'origin'>;

export type PickPlain = (request: PlainRequest, view: FleetView, now: Milliseconds, random: Random) => Result<PlainPlacement, PlacementRefusal>;
