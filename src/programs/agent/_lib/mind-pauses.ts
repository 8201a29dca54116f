/** What a pause of this process means for what it hears and does afterwards. */
import {createPauseGuard} from '../../../domain/create-pause-guard/index.js';
import {type Milliseconds} from '../../../ports/clock.js';

const pauseLimitMs = 2000;

export type PauseOptions = {
	now: () => Milliseconds;
	startedAt: Milliseconds;
	/** Time after a pause in which this process still believes what was true before, milliseconds. */
	quietMs: Milliseconds;
	onPaused: (pausedMs: Milliseconds) => void;
};

export type Pauses = {
	/** Looks for a pause; called before anything that is heard or done. */
	check: () => void;
	/** Whether this process may act on what it knows: not just awake. */
	mayAct: () => boolean;
	/** Latest time at which something that was asked for then and read now is sure to have been true. */
	toSoundTime: (askedAt: Milliseconds) => Milliseconds;
	/**
	 * When what a peer said has arrived, at the earliest. Just after a pause it may
	 * have waited in a socket since before, and its age was true then.
	 */
	toArrival: () => Milliseconds;
};

/**
 * Creates it.
 *
 * @param options - See {@link PauseOptions}.
 * @returns See {@link Pauses}.
 */
export function mindPauses({now, startedAt, quietMs, onPaused}: PauseOptions): Pauses {
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
		toSoundTime(askedAt) {
			check();
			return guard.toValidAsOf(askedAt, now());
		},
		toArrival() {
			check();
			return now() < quietUntil ? pausedAt : now();
		},
	};
}
