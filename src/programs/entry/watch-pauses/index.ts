import {createPauseGuard} from '../../../domain/create-pause-guard/index.js';
import {type Milliseconds} from '../../../ports/clock.js';

const tickMs = 250;

/**
 * Notices that this process was paused. A paused process wakes up still
 * believing what it knew: without this check it would send an order or a late
 * byte for a request whose deadline passed while it slept. Timers run before
 * sockets after a wake-up, so `onWake` ends such requests before anything that
 * arrived meanwhile is relayed; each step of an attempt looks at its own time
 * besides, for a pause in the middle of a turn.
 *
 * @param options - Clock, the gap that counts as a pause, and what to do on waking.
 * @returns A function that ends the watch.
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
