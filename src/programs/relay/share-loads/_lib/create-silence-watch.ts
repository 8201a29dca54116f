/** Notices hosts that may have missed what the others told, as no message of them arrived for some time. Hosts that start ask by themselves. */
import {type Milliseconds} from '../../../../ports/clock.js';
import {type Incarnation} from '../../../../ports/ids.js';
import {msPerSecond} from '../../../../ports/units.js';

/** Silence after which a host may have missed reports; they are repeated for longer than that. */
const silentAfterMs: Milliseconds = 3 * msPerSecond;

/** Bound on hosts that are remembered, so that forged senders can't exhaust the memory. */
const maxPeers = 1024;

/**
 * Creates the watch.
 *
 * @returns A function that records a message of a host, and tells whether the same process was silent before.
 */
export function createSilenceWatch(): (address: string, incarnation: Incarnation, now: Milliseconds) => boolean {
	const heard = new Map<string, {incarnation: Incarnation; at: Milliseconds}>();
	return (address, incarnation, now) => {
		const before = heard.get(address);
		if (before !== undefined || heard.size < maxPeers) {
			heard.set(address, {incarnation, at: now});
		}

		return before?.incarnation === incarnation && now - before.at > silentAfterMs;
	};
}
