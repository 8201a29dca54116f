/** Types shared by the steps of a search for servers. */
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';
import {type LoadEstimate} from '../../create-load-estimate/index.js';
import {type ServerCooldowns} from '../../create-server-cooldowns/index.js';
import {type SpillChooser} from '../../create-spill-chooser/index.js';
import {type InterTokenLatency} from '../../create-inter-token-latency/index.js';
import {type Eligibility, type Wanted} from './create-eligibility.js';
import {type Subsets} from './create-subsets.js';
import {type PoolServers} from './to-pool-index.js';

/** Which servers are accepted that would otherwise be passed over. */
export type Relaxation = {
	/** Accepts servers that are suspect, returning or without a recent report. */
	acceptsSoftReasons?: boolean;
	/** Treats servers that are unreachable or ejected as suspect only; used with `acceptsSoftReasons`. */
	isLastResort?: boolean;
	/** Accepts servers that have never reported, as is the case for all servers just after this host has started. */
	acceptsNeverReported?: boolean;
	/** Accepts servers of this zone without a recent report; the zone's summary replaces their loads. */
	zone?: ZoneId;
};

/** One step of a search: how many servers of each role are sampled, and which of them are accepted. */
export type Scope = Relaxation & {
	/** Number of servers sampled in the own zone; `Infinity` takes all. */
	local: number;
	/** Number of servers sampled in `zone`, or in the whole region if `zone` is not set. */
	nearby: number;
	/** Overrides the usual cost of a server in another zone, milliseconds. */
	crossZoneMs?: Milliseconds;
};

/** Reasons for which servers were passed over so far; they decide which step comes next. */
export type SearchFindings = {
	full: boolean;
	/** A server that is full, but neither its own nor its zone's failures count against it. */
	healthyFull: boolean;
	soft: boolean;
	/** A server that is unreachable or was ejected. */
	unreachable: boolean;
	neverReported: boolean;
};

export type Search = {
	pool: string;
	servers: PoolServers;
	entries: ReadonlyMap<ServerId, ServerEntry>;
	wanted: Wanted;
	promptTokens: number;
	kvBytes: number;
	firstTokenBudgetMs: Milliseconds;
	/** Expected length of the answer, and the target time between two tokens. */
	answer: {tokens: number; perTokenTargetMs: Milliseconds};
	/** Prompt tokens expected in the prefix cache, for each server that has some. */
	cachedTokens: ReadonlyMap<ServerId, number>;
	/** Whether the decode server must compute the prompt itself. */
	isOneCall: boolean;
	view: FleetView;
	now: Milliseconds;
	random: Random;
	/** Written by each step, read by later steps. */
	findings: SearchFindings;
};

export type PairSearchOptions = {
	zone: ZoneId;
	/** Number of servers sampled for each role by the first step. */
	draws: number;
	crossZoneMs: Milliseconds;
	loads: LoadEstimate;
	eligibility: Eligibility;
	tokenLatency: InterTokenLatency;
	subsets: Subsets;
	spills: SpillChooser;
	cooldowns: ServerCooldowns;
};
