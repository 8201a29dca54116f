/** What a pause of this process means for what it hears and does afterwards. */
import {createPauseGuard} from '../../../domain/create-pause-guard/index.js';
import {type Milliseconds} from '../../../ports/clock.js';

const pauseLimitMs = 2000;

export type PauseTrackerOptions = {
	now: () => Milliseconds;
	startedAt: Milliseconds;
	/** Time after a pause in which this process still believes what was true before, milliseconds. */
	quietMs: Milliseconds;
	onPaused: (pausedMs: Milliseconds) => void;
};

export type PauseTracker = {
	/** Looks for a pause; called before anything that is heard or done. */
	check: () => void;
	/** Whether this process may act on what it knows: not just awake. */
	mayAct: () => boolean;
	/** Latest time at which something that was asked for then and read now is sure to have been true. */
	toTrustedTime: (askedAt: Milliseconds) => Milliseconds;
	/**
	 * When what a peer said has arrived, at the earliest. Just after a pause it may
	 * have waited in a socket since before, and its age was true then.
	 */
	toEarliestArrival: () => Milliseconds;
};

/**
 * Creates it.
 *
 * @param options - See {@link PauseTrackerOptions}.
 * @returns See {@link PauseTracker}.
 */
export function createPauseTracker({now, startedAt, quietMs, onPaused}: PauseTrackerOptions): PauseTracker {
	const guard = createPauseGuard({limitMs: pauseLimitMs, startedAt});
	let quietUntil = startedAt;
	let pausedAt = startedAt;

	function check() {
		const pausedMs = guard.note(now());
		if (pausedMs > 0) {
			quietUntil = now() + quietMs;
			pausedAt = now() - pausedMs;
			onPaused(pausedMs);
		}
	}

	return {
		check,
		mayAct() {
			check();
			return now() >= quietUntil;
		},
		toTrustedTime(askedAt) {
			check();
			return guard.toValidAsOf(askedAt, now());
		},
		toEarliestArrival() {
			check();
			return now() < quietUntil ? pausedAt : now();
		},
	};
}
