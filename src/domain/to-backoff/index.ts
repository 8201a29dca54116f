/** Computes the delay before a retry. */
import {type Milliseconds, type Random} from '../../ports/clock.js';

export type BackoffOptions = {
	/** Upper bound of the first delay, milliseconds. */
	baseMs?: Milliseconds;
	/** Upper bound of all delays, milliseconds. */
	maxMs?: Milliseconds;
};

/**
 * Draws an exponential backoff with full jitter: a random delay between 0 and a bound
 * that doubles with each attempt, so that requests that failed together are not
 * retried together.
 *
 * @param attempt - Number of the attempt that failed, from 1.
 * @param random - Numbers in [0, 1).
 * @param options - Bounds, 25 ms and 2 s by default.
 * @returns Milliseconds.
 * @example
 * toBackoff(3, () => 0.5); // 50
 */
export function toBackoff(attempt: number, random: Random, options: BackoffOptions = {}): Milliseconds {
	const baseMs = options.baseMs ?? 25;
	const maxMs = options.maxMs ?? 2000;
	const bound = Math.min(maxMs, baseMs * (2 ** (Math.max(1, attempt) - 1)));
	return random() * bound;
}
