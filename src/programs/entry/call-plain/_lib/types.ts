import {type Log} from '../../../../adapters/log/index.js';
import {type CallerExchange} from '../../../../adapters/caller-http/index.js';
import {type Problem} from '../../../../domain/to-problem/index.js';
import {type FailedAttempt} from '../../../../domain/create-retry-budget/index.js';
import {type PromptCache, type RequestHints} from '../../../../ports/server-calls.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type Fingerprint, type PartKey, type ServerId} from '../../../../ports/ids.js';
import {type Outcome} from '../../../../ports/outcome.js';
import {type Account} from '../../accounts/index.js';
import {type RelayedEvents} from '../../send-plain/index.js';
import {type OutcomeLedger} from '../../outcome-ledger/index.js';
import {type PlainBody} from '../../_lib/plain-body.js';
import {type RunStream} from '../../_lib/create-run-stream.js';
import {type PlainClients} from '../../_lib/plain-clients.js';
import {type Route} from '../../_lib/route.js';
import {type ServeContext} from '../../_lib/serve-types.js';

export type PlainRun = {
	exchange: CallerExchange;
	route: Route;
	ctx: ServeContext;
	clients: PlainClients;
	account: Account;
	/** Carries the request's id. */
	log: Log;
	/** The same for each repeat of the request; `undefined` if its body is streamed. */
	fingerprint: Fingerprint | undefined;
	/** Parts of the prompt that other requests may share. */
	parts: readonly PartKey[];
	/** Whether the request is a trial of parts that are quarantined. */
	isTrial: boolean;
	/** Hints about the request from the caller's headers. */
	work: RequestHints;
	body: PlainBody;
	receivedAt: Milliseconds;
	deadline: Milliseconds;
	/** Aborted with an {@link EndCause} as its reason. */
	signal: AbortSignal;
	/** Outcome over all calls of the request. */
	ledger: OutcomeLedger;
	/** Present if another server may continue a broken answer. */
	events: RelayedEvents | undefined;
	/** At which servers the stream may go on. */
	stream: RunStream;
	/** Servers that failed or refused the request so far, and their zones. */
	tried: Array<FailedAttempt['tried'][number]>;
	/** Servers to which a call has sent the request, also for a prefill. */
	sentTo: Set<ServerId>;
	/** Number of calls so far that may have run the request: neither prefills nor calls that a server refused or that did not reach it. */
	runs: number;
	/** Whether the decode server of the next attempt also does the prefill, because the retry budget did not allow a separate prefill call. */
	isDecodeOnly: boolean;
	/** Cache of the prompt that the last attempt computed and whose decode server was lost before it fetched the cache. */
	kept?: PromptCache | undefined;
	/** `IP:port` of the hosts to which the request was passed on. */
	peersTried: Set<string>;
	/** Servers that could not be connected, or gave no answer to a reservation, since any server last answered the request. */
	unreached: Set<ServerId>;
	/** Number of times that every server was full. */
	bounces: number;
	/** Monotonic time of the first byte of an answer. */
	firstByteAt?: Milliseconds;
};

export type PlainOutcome = {
	/** `bounced`: all servers are full and nothing was sent; the request may wait for admission again. */
	end: 'complete' | 'refused' | 'failed' | 'caller-gone' | 'bounced';
	outcome: Outcome;
	/** Monotonic time before which no server has capacity; `undefined` if capacity may be freed at any time. */
	capacityAt?: Milliseconds;
	/** Sent to the caller unless its answer has begun. */
	problem?: Problem;
};
