import {type Milliseconds} from '../../ports/clock.js';

/**
 * Waits, or returns early when the signal aborts.
 *
 * @param ms - How long, milliseconds.
 * @param signal - Ends the wait; it does not make it reject.
 * @returns Resolves at the end of the wait or at the abort.
 *
 * @example
 * ```ts
 * await waitFor(60_000, AbortSignal.abort()); // at once
 * ```
 */
export async function waitFor(ms: Milliseconds, signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	// The timer of `node:timers/promises` does the same at twice the cost, which matters in a process that does little else.
	await new Promise<void>(resolve => {
		const end = () => {
			clearTimeout(timer);
			signal.removeEventListener('abort', end);
			resolve();
		};

		const timer = setTimeout(end, ms);
		signal.addEventListener('abort', end);
	});
}
