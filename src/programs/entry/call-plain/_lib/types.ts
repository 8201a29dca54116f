import {type Log} from '../../../../adapters/log/index.js';
import {type CallerExchange} from '../../../../adapters/caller-http/index.js';
import {type Problem} from '../../../../domain/to-problem/index.js';
import {type FailedAttempt} from '../../../../domain/create-retry-budget/index.js';
import {type RequestHints} from '../../../../ports/server-calls.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type Fingerprint} from '../../../../ports/ids.js';
import {type Outcome} from '../../../../ports/outcome.js';
import {type Account} from '../../accounts/index.js';
import {type RelayedEvents} from '../../send-plain/index.js';
import {type OutcomeLedger} from '../../outcome-ledger/index.js';
import {type PlainBody} from '../../_lib/plain-body.js';
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
	/** The same for each repeat of the request; `undefined` where its body goes through unread. */
	fingerprint: Fingerprint | undefined;
	/** What the caller says of the request beside its body. */
	work: RequestHints;
	body: PlainBody;
	receivedAt: Milliseconds;
	deadline: Milliseconds;
	/** Aborted with an {@link EndCause} as its reason. */
	signal: AbortSignal;
	/** What may be said of all its calls together. */
	ledger: OutcomeLedger;
	/** Present where a broken answer may be continued by another server. */
	events: RelayedEvents | undefined;
	/** Servers that failed or refused it so far, and their zones. */
	tried: Array<FailedAttempt['tried'][number]>;
	/** Servers to which the request itself was sent so far. */
	sent: number;
	/** The next attempt is to be one call, as the budget held no more; its decode server computes the prompt. */
	isDecodeOnly: boolean;
	/** Times that it found every server full. */
	bounces: number;
	/** When the first byte of an answer came, monotonic. */
	firstByteAt?: Milliseconds;
};

export type PlainOutcome = {
	/** `bounced`: no server has room now, and nothing was sent; it may wait and come again. */
	end: 'complete' | 'refused' | 'failed' | 'caller-gone' | 'bounced';
	outcome: Outcome;
	/** Before this time no server has room, monotonic; `undefined` where it may come any moment. */
	capacityAt?: Milliseconds;
	/** Sent to the caller unless its answer has begun. */
	problem?: Problem;
};
