import {type Milliseconds} from '../../ports/clock.js';

/**
 * Computes how long ago an event happened, for a log line or a status document.
 *
 * @param at - Monotonic milliseconds; `undefined` or not finite if the event never happened.
 * @param now - Monotonic milliseconds.
 * @returns Whole milliseconds; `undefined` if the event never happened.
 *
 * @example
 * ```ts
 * toAge(100.2, 350); // => 250
 * ```
 */
export function toAge(at: Milliseconds | undefined, now: Milliseconds): Milliseconds | undefined {
	return at === undefined || !Number.isFinite(at) ? undefined : Math.round(now - at);
}
