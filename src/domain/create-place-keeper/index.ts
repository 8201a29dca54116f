/** Counts the requests of all hosts at servers, on the host that keeps the count. */
import {type Milliseconds} from '../../ports/clock.js';
import {type ServerId} from '../../ports/ids.js';
import {type PlaceAnswer, placeLifetimeMs} from '../../ports/places.js';

export type PlaceRequest = {
	server: ServerId;
	slots: number;
	/** Identifies the request among all hosts. */
	holder: string;
	/** Whether to count the request although the server is full. */
	isForced: boolean;
};

export type PlaceKeeper = {
	/** Counts a request at a server if the server has a free slot. */
	take: (request: PlaceRequest, now: Milliseconds) => PlaceAnswer;
	/** Ends the count of a request. */
	leave: (server: ServerId, holder: string) => void;
	/** Number of servers at which requests are counted. */
	size: () => number;
};

/**
 * Creates the counts of a host that has counted nothing yet.
 *
 * @returns See {@link PlaceKeeper}; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const keeper = createPlaceKeeper();
 * keeper.take({server: 's', slots: 1, holder: 'a/1', isForced: false}, 0); // => {isTaken: true, count: 0}
 * keeper.take({server: 's', slots: 1, holder: 'b/1', isForced: false}, 1); // => {isTaken: false, count: 1}
 * ```
 */
export function createPlaceKeeper(): PlaceKeeper {
	/** Holders with the time of their taking, by server, the oldest first. */
	const taken = new Map<ServerId, Map<string, Milliseconds>>();

	function dropExpired(holders: Map<string, Milliseconds>, now: Milliseconds): void {
		for (const [holder, takenAt] of holders) {
			if (now - takenAt < placeLifetimeMs) {
				return;
			}

			holders.delete(holder);
		}
	}

	function toHolders(server: ServerId, now: Milliseconds): Map<string, Milliseconds> {
		const holders = taken.get(server) ?? new Map<string, Milliseconds>();
		taken.set(server, holders);
		dropExpired(holders, now);
		return holders;
	}

	return {
		take({server, slots, holder, isForced}, now) {
			const holders = toHolders(server, now);
			const count = holders.size;
			const isTaken = isForced || count < slots;
			if (isTaken) {
				holders.set(holder, now);
			}

			return {isTaken, count};
		},
		leave(server, holder) {
			const holders = taken.get(server);
			holders?.delete(holder);
			if (holders?.size === 0) {
				taken.delete(server);
			}
		},
		size: () => taken.size,
	};
}
