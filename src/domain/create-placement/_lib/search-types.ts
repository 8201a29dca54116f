/** What the steps of a search for servers pass to one another. */
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

/** Which servers count that would else be passed over. */
export type Relaxation = {
	/** Servers that are doubted, returning or without a recent report. */
	acceptsSoftReasons?: boolean;
	/** As for `isLax`; servers that can't be reached or were ejected count as doubted. */
	isLastResort?: boolean;
	/** Servers that have never reported, as none has to a host that just started. */
	acceptsNeverReported?: boolean;
	/** Servers without a recent report in this zone, whose summary stands in for their loads. */
	zone?: ZoneId;
};

/** One step of a search: how many servers of each role are drawn, and which of them count. */
export type Scope = Relaxation & {
	/** Servers drawn in the own zone; `Infinity` takes all. */
	local: number;
	/** Servers drawn in `zone`, or anywhere in the region without one. */
	nearby: number;
	/** What a server of another zone costs, if not as usual. */
	crossZoneMs?: Milliseconds;
};

/** Why servers were passed over so far, as far as that decides how to go on. */
export type SearchFindings = {
	full: boolean;
	/** A full server that nothing else speaks against. */
	healthyFull: boolean;
	soft: boolean;
	/** A server that can't be reached or was ejected. */
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
	/** Answer tokens expected, and the target between two. */
	answer: {tokens: number; perTokenTargetMs: Milliseconds};
	/** Prompt tokens expected in the prefix cache of each server that has any. */
	cachedTokens: ReadonlyMap<ServerId, number>;
	/** No other server than the decode server computes the prompt. */
	isOneCall: boolean;
	view: FleetView;
	now: Milliseconds;
	random: Random;
	/** Written by each step, read by those after it. */
	findings: SearchFindings;
};

export type PairSearchOptions = {
	zone: ZoneId;
	/** Servers drawn for each role by the first step. */
	draws: number;
	crossZoneMs: Milliseconds;
	loads: LoadEstimate;
	eligibility: Eligibility;
	tokenLatency: InterTokenLatency;
	subsets: Subsets;
	spills: SpillChooser;
	cooldowns: ServerCooldowns;
};
