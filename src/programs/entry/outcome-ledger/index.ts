import {type Milliseconds} from '../../../ports/clock.js';
import {type Outcome} from '../../../ports/outcome.js';

/**
 * What may be said of a request if it were given up now. It only ever moves
 * from `not-run` towards `ran`.
 */
export type OutcomeLedger = {
	/** Bytes of the request are about to be offered to a backend server that may run it. */
	noteOffered: () => void;
	/** The server itself said that it did not start the offer, or no connection was made. */
	noteNotStarted: () => void;
	/** The server ran it: its first token came at this monotonic time. */
	noteRan: (now: Milliseconds) => void;
	/** When its first token came. */
	firstTokenAt: () => Milliseconds | undefined;
	outcome: () => Outcome;
	/** Whether any offer may have been taken; decides whether work that is not repeatable may be offered again. */
	isOffered: () => boolean;
};

/**
 * Creates the ledger of one request. The offer is noted before its first byte
 * is sent: noted afterwards, a pause or a failure between the two would let the
 * caller be told `not-run` about work that runs.
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
