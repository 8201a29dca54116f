/**
 * Notices that this process was paused (stopped, or starved of the processor)
 * and keeps it from taking for fresh what waited in its sockets meanwhile.
 */
import {type Milliseconds} from '../../ports/clock.js';

export type PauseGuard = {
	/**
	 * Called on every tick and before anything received is used.
	 *
	 * @param now - Monotonic milliseconds.
	 * @returns Length of the pause that ended with this call, milliseconds; 0 if there was none.
	 */
	note: (now: Milliseconds) => Milliseconds;
	/**
	 * Latest time at which something received now is sure to have been true.
	 *
	 * @param askedAt - When it was asked for, monotonic milliseconds.
	 * @param now - When it is read, monotonic milliseconds.
	 * @returns `now`, or the start of a pause that lies in between.
	 */
	toValidAsOf: (askedAt: Milliseconds, now: Milliseconds) => Milliseconds;
};

/**
 * Creates a guard.
 *
 * @param options - `limitMs`: a gap between two calls that counts as a pause,
 * milliseconds; well above the tick of the caller. `startedAt`: now.
 * @returns See {@link PauseGuard}.
 *
 * @example
 * ```ts
 * const guard = createPauseGuard({limitMs: 2000, startedAt: 0});
 * guard.note(60_000); // => 60000
 * guard.toSoundTime(0, 60_001); // => 0
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
