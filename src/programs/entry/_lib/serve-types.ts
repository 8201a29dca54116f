/** Types shared by the handlers of callers' requests. */
import {type Dispatcher} from 'undici';
import {type Log} from '../../../adapters/log/index.js';
import {type CrashSuspects} from '../../../domain/create-crash-suspects/index.js';
import {type PartQuarantine} from '../../../domain/create-part-quarantine/index.js';
import {type RunDurations} from '../../../domain/create-run-durations/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Accounts} from '../accounts/index.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type WorkspaceId} from '../../../ports/ids.js';
import {type Places} from '../../../ports/places.js';
import {type Quotas} from '../../../ports/quotas.js';
import {type ServerLimits} from '../../../ports/request-limits.js';
import {type StreamOrigins} from '../../../ports/stream-origins.js';
import {type Reach} from '../../../ports/reach.js';
import {type ServerCalls, type ServerNotice} from '../../../ports/server-calls.js';
import {type Claims} from '../claims/index.js';
import {type StopDeadline} from './create-stop-deadline.js';
import {type PassedEnd, type StreamEnd} from './create-entry-metrics.js';
import {type EndedRequest} from './ended-request.js';
import {type Router} from './route.js';
import {type RunRegistry} from './run-registry.js';
import {type RunServices} from './types.js';

export type CallerLimits = {
	maxBodyBytes: number;
	bodyTimeoutMs: Milliseconds;
	writeTimeoutMs: Milliseconds;
	maxPromptTokens: number;
	maxOutputTokens: number;
	maxInFlight: number;
	maxQueued: number;
};

export type ServeContext = {
	services: RunServices;
	limits: CallerLimits;
	route: Router;
	accounts: Accounts;
	registry: RunRegistry;
	/** Claims of keyed requests; absent where idempotency keys are not supported. */
	claims: Claims | undefined;
	/** Builds and parses the headers of calls to backend servers. */
	calls: ServerCalls;
	/** Handles a notice that a server sent about itself in an answer. */
	handleNotice: (server: ServerEntry, notice: ServerNotice) => void;
	/** Places at servers that report no load; absent where hosts do not count them together. */
	places: Places | undefined;
	/** Whether this host reaches the servers of a pool; absent where hosts do not tell each other. */
	reach?: Reach | undefined;
	/** Returns the connections to another host, by its `IP:port`. */
	toPeerDispatcher: (address: string) => Dispatcher;
	/** Counts a request that was passed on to another host. */
	countPassedOn: (end: PassedEnd) => void;
	/** Origins of streams, as all hosts keep them together; absent where they do not. */
	streamOrigins?: StreamOrigins | undefined;
	/** Counts what became of a stream's origin. */
	countStream: (end: StreamEnd) => void;
	/** Limits of workspaces. */
	quotas: Quotas;
	/** Limits that servers state. */
	serverLimits: ServerLimits;
	/** Counts a request that was refused because its workspace had used its limit. */
	countOverLimit: (workspace: WorkspaceId) => void;
	/** Tracks requests under which servers crashed. */
	suspects: CrashSuspects;
	/** Tracks parts of prompts under which servers crashed. */
	partQuarantine: PartQuarantine;
	/** When a planned stop of this host aborts its requests. */
	stopDeadline: StopDeadline;
	/** How long the latest runs took. */
	runDurations: RunDurations;
	/** Resolves once this host knows what the other hosts know. Without it, nothing waits for that. */
	untilCaughtUp?: (() => Promise<void>) | undefined;
	log: Log;
	onEnded: (ended: EndedRequest) => void;
};
