/** Notices processes that have started anew under a known address. */
import {type Incarnation} from '../../../../ports/ids.js';

/** Bound on hosts whose incarnation is known, so that forged senders can't exhaust the memory. */
const maxIncarnations = 1024;

/**
 * Creates the watch for hosts whose process was replaced.
 *
 * @returns A function that tells whether a host runs another process than at its last message; a host that is heard for the first time does not.
 */
export function createStartWatch(): (address: string, incarnation: Incarnation) => boolean {
	const incarnations = new Map<string, Incarnation>();
	return (address, incarnation) => {
		const before = incarnations.get(address);
		if (before !== undefined || incarnations.size < maxIncarnations) {
			incarnations.set(address, incarnation);
		}

		return before !== undefined && before !== incarnation;
	};
}
