/** When a refused caller should come back, from how fast the work ahead drains. */
import {type Milliseconds} from '../../ports/clock.js';
import {msPerSecond} from '../../ports/units.js';

export type RetryAfterInput = {
	/** Requests that must be served before there is room. */
	ahead: number;
	/** Requests that leave in a second; 0 when nothing drains or nothing has been measured. */
	drainPerSecond: number;
};

export type RetryAfterOptions = {
	minMs?: Milliseconds;
	maxMs?: Milliseconds;
	/** Given when nothing drains or nothing has been measured. */
	unknownMs?: Milliseconds;
};

/**
 * Gives the delay after which a caller may come back with a chance.
 *
 * @param input - what is ahead and how fast it drains.
 * @param options - bounds, 1 s and 60 s by default, and 5 s while no drain is known.
 * @returns milliseconds, a whole number of seconds as `Retry-After` needs.
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
