import {type Milliseconds} from '../../ports/clock.js';

/** A longer timer fires at once. */
const maxTimerMs: Milliseconds = 0x7F_FF_FF_FF;

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
 * @param timeoutMs - Time, rounded up; 1 ms at least.
 * @param signal - Aborts sooner.
 * @returns The signal; its timer does not keep the process alive.
 *
 * @example
 * ```ts
 * toLimitSignal(deadline - now, run.signal);
 * ```
 */
export function createTimeoutSignal(timeoutMs: Milliseconds, signal: AbortSignal): AbortSignal {
	const timeout = new AbortController();
	const timer = setTimeout(() => {
		timeout.abort(new DOMException('the time limit has passed', 'TimeoutError'));
	}, Math.min(maxTimerMs, Math.max(1, Math.ceil(timeoutMs))));
	timer.unref();
	return AbortSignal.any([signal, timeout.signal]);
}
