import {createPauseGuard} from '../../../domain/create-pause-guard/index.js';
import {type Milliseconds} from '../../../ports/clock.js';

const tickMs = 250;

/**
 * Detects pauses of this process. After a pause the state of the process is stale:
 * without this check, the process would send a call or a late byte for a request
 * whose deadline passed during the pause. Timers fire before sockets are read, so
 * `onWake` aborts such requests before data that arrived meanwhile is relayed. For
 * pauses within one turn of the event loop, each step of an attempt also checks its
 * own timeout.
 *
 * @param options - Monotonic clock, the gap in milliseconds that counts as a pause, and a callback for the end of a pause.
 * @returns Function that stops the detection.
 */
export function watchPauses(options: {now: () => Milliseconds; limitMs: Milliseconds; onWake: (gapMs: Milliseconds) => void}): () => void {
	const guard = createPauseGuard({limitMs: options.limitMs, startedAt: options.now()});
	const timer = setInterval(() => {
		const gapMs = guard.note(options.now());
		if (gapMs > 0) {
			options.onWake(gapMs);
		}
	}, tickMs);
	return () => {
		clearInterval(timer);
	};
}
