import {type Milliseconds} from '../../ports/clock.js';

/**
 * How long ago something was, for a log line or a status.
 *
 * @param at - Monotonic milliseconds; `undefined` or not finite where it never was.
 * @param now - Monotonic milliseconds.
 * @returns Whole milliseconds; `undefined` where it never was.
 *
 * @example
 * ```ts
 * toAge(100.2, 350); // => 250
 * ```
 */
export function toAge(at: Milliseconds | undefined, now: Milliseconds): Milliseconds | undefined {
	return at === undefined || !Number.isFinite(at) ? undefined : Math.round(now - at);
}
