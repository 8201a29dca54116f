/**
 * Reads whether a caller has closed its connection. Request and close may lie in one
 * receive buffer: the event loop reads the request in one turn and the close in the
 * next, so a request that is acted upon at once may be one that nobody waits for.
 */
import {type Milliseconds} from '../../../ports/clock.js';

export type CloseReader = {
	/** Resolves once a close that had arrived before the call has been read, unless one was read a moment ago. */
	read: () => Promise<void>;
	/** Notes that the connection has been read in the turn of the event loop that began at this time. */
	noteRead: (turnAt: Milliseconds) => void;
};

export type CloseReaderOptions = {
	now: () => Milliseconds;
	/** Resolves in the next turn of the event loop, after its sockets were read. */
	nextTurn: () => Promise<unknown>;
};

/** Age up to which the last reading is relied upon; work for a caller who left so recently costs servers little. */
const maxAgeMs: Milliseconds = 100;

/**
 * Creates the reader of one connection.
 *
 * @param options - Monotonic clock, and the turns of the event loop.
 * @returns The reader.
 */
export function createCloseReader({now, nextTurn}: CloseReaderOptions): CloseReader {
	let readAt = -Infinity;

	return {
		noteRead(turnAt) {
			readAt = Math.max(readAt, turnAt);
		},
		async read() {
			const askedAt = now();
			if (askedAt - readAt <= maxAgeMs) {
				return;
			}

			// The first turn is the present one, whose sockets may have been read before.
			await nextTurn();
			await nextTurn();
			readAt = askedAt;
		},
	};
}
