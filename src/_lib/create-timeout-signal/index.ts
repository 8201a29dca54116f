import {maxTimerMs, type Milliseconds} from '../../ports/clock.js';

/**
 * Creates a signal that aborts after a timeout, or together with another signal.
 *
 * On Node 20 only weak references hold an `AbortSignal.timeout` that is combined
 * by `AbortSignal.any`: after a garbage collection none of a hundred such
 * timeouts fired, and a call to a silent server held its request until its
 * caller left. Here the timer holds the signal. The function also accepts the
 * fraction of a millisecond that is left until a deadline on a monotonic clock;
 * `AbortSignal.timeout` throws on fractions.
 *
 * @param timeoutMs - Time until the abort in milliseconds, rounded up; 1 ms at least.
 * @param signal - Signal whose abort ends the wait sooner.
 * @returns The signal; its timer does not keep the process alive.
 *
 * @example
 * ```ts
 * createTimeoutSignal(deadline - now, run.signal);
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
