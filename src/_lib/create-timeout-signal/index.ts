import {type Milliseconds} from '../../ports/clock.js';

/** A longer timer fires at once. */
const longestTimerMs: Milliseconds = 0x7F_FF_FF_FF;

/**
 * Makes a signal that aborts after a time, or with another one.
 *
 * `AbortSignal.timeout` under `AbortSignal.any` is held by nothing but weak
 * references on Node 20: once garbage was collected, none of a hundred such
 * limits fired, and a call to a silent server held its request until its caller
 * left. Here the timer holds the signal. It also takes the fraction of a
 * millisecond that is left of a deadline on a monotonic clock, at which
 * `AbortSignal.timeout` throws.
 *
 * @param limitMs - Time, rounded up; 1 ms at least.
 * @param signal - Aborts sooner.
 * @returns The signal; its timer does not keep the process alive.
 *
 * @example
 * ```ts
 * toLimitSignal(deadline - now, run.signal);
 * ```
 */
export function createTimeoutSignal(limitMs: Milliseconds, signal: AbortSignal): AbortSignal {
	const limit = new AbortController();
	const timer = setTimeout(() => {
		limit.abort(new DOMException('the time limit has passed', 'TimeoutError'));
	}, Math.min(longestTimerMs, Math.max(1, Math.ceil(limitMs))));
	timer.unref();
	return AbortSignal.any([signal, limit.signal]);
}
