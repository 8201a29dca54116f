import {type Milliseconds} from '../../../ports/clock.js';
import {type Outcome} from '../../../ports/outcome.js';

/**
 * Tracks whether a request has run, may have run, or has not run on any server, as
 * its caller would be told if the request ended now. Once it has run, the outcome
 * stays `ran`.
 */
export type OutcomeLedger = {
	/** Bytes of the request are about to be offered to a backend server that may run it. */
	noteOffered: () => void;
	/** The server reported that it did not start the offered request, or no connection was made. */
	noteNotStarted: () => void;
	/** The server ran the request; its first token arrived at this monotonic time. */
	noteRan: (now: Milliseconds) => void;
	/** Monotonic time of the first token. */
	firstTokenAt: () => Milliseconds | undefined;
	outcome: () => Outcome;
	/** Whether a server may have accepted an offer; a request that is not repeatable must not be offered again then. */
	isOffered: () => boolean;
};

/**
 * Creates the ledger of one request. An offer is recorded before its first byte is
 * sent. If it were recorded afterwards, a pause or a failure between the two could
 * let the caller be told `not-run` about a request that runs.
 *
 * @returns The ledger.
 */
export function createOutcomeLedger(): OutcomeLedger {
	let openOffers = 0;
	let firstTokenAt: Milliseconds | undefined;
	return {
		noteOffered() {
			openOffers++;
		},
		noteNotStarted() {
			openOffers--;
		},
		noteRan(now) {
			firstTokenAt ??= now;
		},
		firstTokenAt: () => firstTokenAt,
		outcome: () => firstTokenAt === undefined ? (openOffers > 0 ? 'may-have-run' : 'not-run') : 'ran',
		isOffered: () => openOffers > 0,
	};
}
