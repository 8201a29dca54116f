import {type Milliseconds} from '../../../../ports/clock.js';

/** When to end an answer whose server sends nothing. */
export type SilenceLimit = {
	/** Time without a byte after which the limit asks. */
	afterMs: Milliseconds;
	/** Whether the answer may be ended now; asked again each time as much time has passed. */
	mayEnd: () => boolean;
};

/**
 * Creates the timer of one answer, which does not run yet.
 *
 * @param limit - See {@link SilenceLimit}.
 * @param onSilent - Called at most once, when the answer is to be ended.
 * @returns Functions that start the timer anew and stop it.
 */
export function createSilenceTimer({afterMs, mayEnd}: SilenceLimit, onSilent: () => void): {restart: () => void; stop: () => void} {
	let timer: NodeJS.Timeout | undefined;

	function restart(): void {
		clearTimeout(timer);
		timer = setTimeout(check, afterMs);
	}

	function check(): void {
		if (mayEnd()) {
			onSilent();
		} else {
			restart();
		}
	}

	return {
		restart,
		stop() {
			clearTimeout(timer);
		},
	};
}
