import {type Milliseconds} from '../../ports/clock.js';

/**
 * Makes a signal that aborts after a time, or with another one.
 *
 * `AbortSignal.timeout` throws at a fraction of a millisecond, which is what is
 * left of a deadline on a monotonic clock: a caller with little time left got
 * a fault of the program for its answer.
 *
 * @param limitMs - Time, rounded up; 1 ms at least.
 * @param signal - Aborts sooner.
 * @returns The signal.
 *
 * @example
 * ```ts
 * toLimitSignal(deadline - now, run.signal);
 * ```
 */
export function toLimitSignal(limitMs: Milliseconds, signal: AbortSignal): AbortSignal {
	return AbortSignal.any([signal, AbortSignal.timeout(Math.max(1, Math.ceil(limitMs)))]);
}
