import {type Milliseconds, type Random} from '../../ports/clock.js';
import {msPerSecond} from '../../ports/units.js';

/** Assumed mean time for which a request holds its memory, until one has ended on this host. */
const unknownHoldMs = 3 * msPerSecond;

/** Minimum delay, and width of the random spread on top of it, in multiples of the mean holding time. */
const minHolds = 1.2;
const spreadHolds = 0.5;

/**
 * Computes the minimum retry delay that a caller is told.
 *
 * @param holdMs - Mean time for which the pool's requests keep their memory; `undefined` while none has ended.
 * @returns Milliseconds; a caller who has waited less has not been refused before.
 */
export function toMinFullPoolRetryAfter(holdMs: Milliseconds | undefined): Milliseconds {
	return (holdMs ?? unknownHoldMs) * minHolds;
}

/**
 * Computes the delay after which a caller may retry at a pool whose memory is full.
 * After the mean holding time most of the current requests have ended, and so has
 * any shorter burst. Callers that retry earlier meet the same burst and take room
 * from requests that could still be in time: with 1 to 3 s instead of 3.5 to 5 s, a
 * quarter fewer new requests were served in time under twice the usual load for 4 s
 * in every 10 s. The random spread keeps callers that were refused together from
 * retrying together.
 *
 * @param holdMs - Mean time for which the pool's requests keep their memory; `undefined` while none has ended.
 * @param random - Numbers in [0, 1).
 * @returns Milliseconds.
 *
 * @example
 * ```ts
 * toFullPoolRetryAfter(3000, () => 0); // => 3600
 * ```
 */
export function toFullPoolRetryAfter(holdMs: Milliseconds | undefined, random: Random): Milliseconds {
	return toMinFullPoolRetryAfter(holdMs) + ((holdMs ?? unknownHoldMs) * spreadHolds * random());
}
