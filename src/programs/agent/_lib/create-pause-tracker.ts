/** Detects pauses of this process and limits what it believes and does after one. */
import {createPauseGuard} from '../../../domain/create-pause-guard/index.js';
import {type Milliseconds} from '../../../ports/clock.js';

const pauseLimitMs = 2000;

export type PauseTrackerOptions = {
	now: () => Milliseconds;
	startedAt: Milliseconds;
	/** Time after a pause in which this process may still hold outdated state and must not act, milliseconds. */
	quietMs: Milliseconds;
	onPaused: (pausedMs: Milliseconds) => void;
};

export type PauseTracker = {
	/** Checks for a pause; called before every received message and every action. */
	check: () => void;
	/** Whether this process may act on its state: it has not just woken up from a pause. */
	mayAct: () => boolean;
	/** Latest time at which an answer that is read now, to a question asked at `askedAt`, is certain to have been true. */
	toTrustedTime: (askedAt: Milliseconds) => Milliseconds;
	/**
	 * Earliest time at which a message that is read now may have arrived. Just after
	 * a pause, the message may have been in the socket since before the pause, and
	 * the ages stated in it are relative to its arrival.
	 */
	toEarliestArrival: () => Milliseconds;
};

/**
 * Creates the tracker.
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
