import {type CallerExchange} from '../../../../adapters/caller-http/index.js';
import {type Problem} from '../../../../domain/to-problem/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type Outcome} from '../../../../ports/outcome.js';
import {type Account} from '../../accounts/index.js';
import {type OutcomeLedger} from '../../outcome-ledger/index.js';
import {type PlainBody} from '../../_lib/plain-body.js';
import {type PlainClients} from '../../_lib/plain-clients.js';
import {type Route} from '../../_lib/route.js';
import {type ServeServices} from '../../_lib/serve-types.js';

export type PlainRun = {
	exchange: CallerExchange;
	route: Route;
	serve: ServeServices;
	clients: PlainClients;
	account: Account;
	body: PlainBody;
	receivedAt: Milliseconds;
	deadline: Milliseconds;
	/** Aborted with an {@link EndCause} as its reason. */
	signal: AbortSignal;
	/** What may be said of all its calls together. */
	ledger: OutcomeLedger;
};

export type PlainOutcome = {
	end: 'complete' | 'refused' | 'failed' | 'caller-gone';
	outcome: Outcome;
	/** Sent to the caller unless its answer has begun. */
	problem?: Problem;
};
