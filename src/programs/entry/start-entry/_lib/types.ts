/** Options and the running form of an entry. */
import {type CallerServerOptions} from '../../../../adapters/caller-http/index.js';
import {type Log} from '../../../../adapters/log/index.js';
import {type Metrics} from '../../../../adapters/metrics/index.js';
import {type CrashSuspects} from '../../../../domain/create-crash-suspects/index.js';
import {type PartQuarantine} from '../../../../domain/create-part-quarantine/index.js';
import {type ServerHealthOptions} from '../../../../domain/create-server-health/index.js';
import {type RetryBudgetOptions} from '../../../../domain/create-retry-budget/index.js';
import {type PlacementDecider} from '../../../../domain/create-placement/index.js';
import {type SharedLoads} from '../../../../domain/create-shared-loads/index.js';
import {type Clock, type Milliseconds, type Random} from '../../../../ports/clock.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type Places} from '../../../../ports/places.js';
import {type RequestLimits} from '../../../../domain/create-request-limits/index.js';
import {type Quotas} from '../../../../ports/quotas.js';
import {type Reach} from '../../../../ports/reach.js';
import {type SharedRetryPool} from '../../../../ports/retries.js';
import {type StreamOrigins} from '../../../../ports/stream-origins.js';
import {type ServerCallHooks, type ServerCalls} from '../../../../ports/server-calls.js';
import {type HostLoad} from '../../../../ports/shared-loads.js';
import {type FleetView} from '../../../../ports/view.js';
import {type EngineClient} from '../../../_engines/index.js';
import {type ProgramKeys} from '../../../_operations/index.js';
import {type EntrySettings} from '../../../_settings/index.js';
import {type Accounts} from '../../accounts/index.js';
import {type FleetLink, type JoinOptions} from '../../_lib/join-fleet.js';
import {type PlainClients} from '../../_lib/plain-clients.js';
import {type ServeContext} from '../../_lib/serve-types.js';

export type LoadSharing = Pick<SharedLoads, 'read' | 'isZoneSilent'> & {
	/** Whether hosts of other zones were heard before but none is any more. */
	isIsolated: () => boolean;
	tick: (loads: readonly HostLoad[]) => void;
};

/** How requests wait to be started. */
export type CallerWaits = Pick<CallerServerOptions, 'toMaxWaitMs' | 'onLeftUnstarted'>;

export type EntryOptions = {
	settings: EntryCoreSettings;
	clock: Clock;
	random: Random;
	log: Log;
	metrics: Metrics;
	keys?: ProgramKeys | undefined;
	createEngine: (server: ServerEntry, hooks: {onDropped: (cause: 'crossed' | 'repeated') => void}) => EngineClient;
	/** Connects the host to the fleet: opens the source of its view, and the claims of keyed requests. */
	join: (options: JoinOptions) => Promise<FleetLink>;
	/** Limits of retries besides the capacity of the retry budget. */
	retryBudget?: RetryBudgetOptions;
	/** Retries that the hosts spend together; by default each host has its own budget alone. */
	sharedRetries?: SharedRetryPool;
	/** When servers are avoided because of failed calls of this host. */
	health?: ServerHealthOptions;
	/** Creates the builder and parser of headers for calls to servers; by default, callers' headers are forwarded as they are. */
	createCalls?: (toDispatcher: PlainClients['toDispatcher'], hooks: ServerCallHooks) => ServerCalls;
	/** Time for which idle connections are kept to backend servers that name no keep-alive timeout. */
	serverIdleMs?: Milliseconds;
	/** Exchanges loads with other hosts: the requests that each has in flight at servers. */
	loadSharing?: LoadSharing;
	/** Resolves once this host knows what the other hosts know. Without it, nothing waits for that. */
	untilCaughtUp?: () => Promise<void>;
	/** Limits of workspaces as all hosts keep them together; by default this host grants an equal part of each limit. */
	quotas?: Quotas;
	/** Limits that servers state, if hosts tell each other. */
	requestLimits?: RequestLimits;
	/** Places at servers that report no load, as all hosts count them together; by default each host knows its own requests alone. */
	places?: Places;
	/** Whether this host reaches the servers of a pool, by its own calls and by what other hosts tell. */
	reach?: Reach;
	/** Origins of streams, as all hosts keep them together; without them no stream that broke at another host goes on. */
	streamOrigins?: StreamOrigins;
	/** Requests under which servers crashed; by default those that this host saw itself. */
	suspects?: CrashSuspects;
	/** Parts of prompts under which servers crashed; by default those that this host saw itself. */
	partQuarantine?: PartQuarantine;
	/** Address on which other hosts pass requests on to this one; by default they can't. */
	peerListener?: {bind: string; port: number} | undefined;
	/** Options of the callers' port that differ from the defaults. */
	callers?: Pick<CallerServerOptions, 'isRelayOnly' | 'requestIdHeader' | 'problemStyle'>;
};

/** Settings of every entry, independent of the source of its view. */
export type EntryCoreSettings = Omit<EntrySettings, 'agentAddress' | 'peerPort' | 'clockBound' | 'keptAnswerBytes' | 'keptAnswerAge'> & {metricsPort?: number | undefined};

export type Entry = {
	callerPort: number;
	peerPort: number;
	operatorPort: number;
	view: () => FleetView | undefined;
	accounts: Accounts;
	/** Fraction of a pool's servers that should do prefills, by the cost of requests on this host; `undefined` while too few requests were measured. */
	toPrefillShare: PlacementDecider['toPrefillShare'];
	/** Handles a notice that a server sent about itself in an answer to a call made outside of the entry. */
	handleNotice: ServeContext['handleNotice'];
	/** Drains requests in progress, then closes. */
	stop: () => Promise<void>;
	/** Aborts all requests in progress and waits a short time for their cancels; returns the ids of the aborted requests. */
	abandon: () => Promise<string[]>;
};
