/**
 * Detects pauses of this process (stopped, or starved of CPU), so that data that
 * waited in its sockets during a pause is not treated as fresh.
 */
import {type Milliseconds} from '../../ports/clock.js';

export type PauseGuard = {
	/**
	 * Checks for a pause; call it on every tick and before received data is used.
	 *
	 * @param now - Monotonic milliseconds.
	 * @returns Length of the pause that ended with this call, milliseconds; 0 if there was none.
	 */
	note: (now: Milliseconds) => Milliseconds;
	/**
	 * Computes the latest time at which received data was certainly valid.
	 *
	 * @param askedAt - Time of the request for the data, monotonic milliseconds.
	 * @param now - Time at which the data is read, monotonic milliseconds.
	 * @returns `now`, or the start of a pause between the two times.
	 */
	toValidAsOf: (askedAt: Milliseconds, now: Milliseconds) => Milliseconds;
};

/**
 * Creates a guard.
 *
 * @param options - `limitMs`: a gap between two calls that counts as a pause,
 * milliseconds; must be well above the caller's tick. `startedAt`: the current time.
 * @returns See {@link PauseGuard}.
 *
 * @example
 * ```ts
 * const guard = createPauseGuard({limitMs: 2000, startedAt: 0});
 * guard.note(60_000); // => 60000
 * guard.toValidAsOf(0, 60_001); // => 0
 * ```
 */
export function createPauseGuard({limitMs, startedAt}: {limitMs: Milliseconds; startedAt: Milliseconds}): PauseGuard {
	let lastCallAt = startedAt;
	let pauseStart = -Infinity;
	let pauseEnd = -Infinity;

	function note(now: Milliseconds): Milliseconds {
		const gap = now - lastCallAt;
		const isPause = gap > limitMs;
		if (isPause) {
			pauseStart = lastCallAt;
			pauseEnd = now;
		}

		lastCallAt = Math.max(lastCallAt, now);
		return isPause ? gap : 0;
	}

	return {
		note,
		toValidAsOf(askedAt, now) {
			note(now);
			return pauseEnd > askedAt ? Math.max(askedAt, pauseStart) : now;
		},
	};
}
