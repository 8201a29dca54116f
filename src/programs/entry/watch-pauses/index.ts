import {createPauseGuard} from '../../../domain/create-pause-guard/index.js';
import {type Milliseconds} from '../../../ports/clock.js';

const tickMs = 250;

/** Delay of a tick from which the event loop counts as late; timers alone are a few milliseconds late. */
const lateMs: Milliseconds = 200;

export type PauseWatchOptions = {
	/** Monotonic clock. */
	now: () => Milliseconds;
	/** Gap between two ticks that counts as a pause. */
	limitMs: Milliseconds;
	/** Called at the end of a pause. */
	onWake: (gapMs: Milliseconds) => void;
	/** Called with the time by which the event loop was late. */
	onLate: (delayMs: Milliseconds) => void;
};

/**
 * Detects pauses of this process. After a pause the state of the process is stale:
 * without this check, the process would send a call or a late byte for a request
 * whose deadline passed during the pause. Timers fire before sockets are read, so
 * `onWake` aborts such requests before data that arrived meanwhile is relayed. For
 * pauses within one turn of the event loop, each step of an attempt also checks its
 * own timeout.
 *
 * Reports a late event loop too: requests and closes that arrived meanwhile were
 * read late.
 *
 * @param options - See {@link PauseWatchOptions}.
 * @returns Function that stops the detection.
 */
export function watchPauses({now, limitMs, onWake, onLate}: PauseWatchOptions): () => void {
	const pauses = createPauseGuard({limitMs, startedAt: now()});
	const delays = createPauseGuard({limitMs: tickMs + lateMs, startedAt: now()});
	const timer = setInterval(() => {
		const tickedAt = now();
		const gapMs = pauses.note(tickedAt);
		const delayedMs = delays.note(tickedAt);
		if (gapMs > 0) {
			onWake(gapMs);
		}

		if (delayedMs > 0) {
			onLate(delayedMs - tickMs);
		}
	}, tickMs);
	return () => {
		clearInterval(timer);
	};
}
