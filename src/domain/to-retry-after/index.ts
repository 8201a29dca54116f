/** Computes retry delays for refused callers from the drain rate of the queue. */
import {type Milliseconds} from '../../ports/clock.js';
import {msPerSecond} from '../../ports/units.js';

export type RetryAfterInput = {
	/** Requests that must be served before there is room. */
	ahead: number;
	/** Requests that leave per second; 0 if nothing drains or no rate has been measured. */
	drainPerSecond: number;
};

export type RetryAfterOptions = {
	minMs?: Milliseconds;
	maxMs?: Milliseconds;
	/** Delay used if nothing drains or no rate has been measured. */
	unknownMs?: Milliseconds;
};

/**
 * Computes the delay after which a retry is likely to succeed.
 *
 * @param input - Number of requests ahead, and the drain rate.
 * @param options - Bounds, 1 s and 60 s by default, and the delay without a known rate, 5 s by default.
 * @returns Milliseconds, rounded up to whole seconds as `Retry-After` requires.
 * @example
 * toRetryAfter({ahead: 30, drainPerSecond: 10}); // 3000
 */
export function toRetryAfter(input: RetryAfterInput, options: RetryAfterOptions = {}): Milliseconds {
	const minMs = options.minMs ?? msPerSecond;
	const maxMs = options.maxMs ?? 60 * msPerSecond;
	const unknownMs = options.unknownMs ?? 5 * msPerSecond;
	const drainMs = input.drainPerSecond > 0 ? input.ahead / input.drainPerSecond * msPerSecond : unknownMs;
	const wholeSeconds = Math.ceil(drainMs / msPerSecond) * msPerSecond;
	return Math.min(maxMs, Math.max(minMs, wholeSeconds));
}
