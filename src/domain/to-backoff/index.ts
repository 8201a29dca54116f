/** How long to wait before an attempt is made again. */
import {type Milliseconds, type Random} from '../../ports/clock.js';

export type BackoffOptions = {
	/** Upper end of the first delay. */
	baseMs?: Milliseconds;
	/** Upper end of any delay. */
	maxMs?: Milliseconds;
};

/**
 * Draws a delay between nothing and a bound that doubles with each attempt
 * (full jitter), so that those who failed together don't come back together.
 *
 * @param attempt - number of the attempt that failed, from 1.
 * @param random - source of chance in [0, 1).
 * @param options - bounds, 25 ms and 2 s by default.
 * @returns milliseconds.
 * @example
 * toBackoff(3, () => 0.5); // 50
 */
export function toBackoff(attempt: number, random: Random, options: BackoffOptions = {}): Milliseconds {
	const baseMs = options.baseMs ?? 25;
	const maxMs = options.maxMs ?? 2000;
	const bound = Math.min(maxMs, baseMs * (2 ** (Math.max(1, attempt) - 1)));
	return random() * bound;
}
