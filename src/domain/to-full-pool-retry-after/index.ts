import {type Milliseconds, type Random} from '../../ports/clock.js';
import {msPerSecond} from '../../ports/units.js';

/** Mean time for which a running request keeps its memory, until one has ended here. */
const unknownHoldMs = 3 * msPerSecond;

/** In mean holding times: the least delay, and how far callers are spread behind it. */
const minHolds = 1.2;
const spreadHolds = 0.5;

/**
 * Gives the least delay that a caller is told.
 *
 * @param holdMs - Mean time for which the pool's requests keep their memory; `undefined` while none has ended.
 * @returns Milliseconds; a caller who has waited less was not told to.
 */
export function toMinFullPoolRetryAfter(holdMs: Milliseconds | undefined): Milliseconds {
	return (holdMs ?? unknownHoldMs) * minHolds;
}

/**
 * Gives the delay after which a caller may come back to a pool whose memory is
 * full. Of what fills the servers now, most has ended after the mean time for
 * which a request keeps its memory; a burst shorter than that is over too.
 * Callers who come back earlier meet the same burst and take room from those
 * who could still be in time: with 1 to 3 s in place of 3.5 to 5 s, on a day
 * with twice the usual load for 4 s in 10, a quarter fewer new requests were
 * served in time. The spread keeps those refused together from returning together.
 *
 * @param holdMs - Mean time for which the pool's requests keep their memory; `undefined` while none has ended.
 * @param random - Source of chance.
 * @returns Milliseconds.
 *
 * @example
 * ```ts
 * toReturnDelay(3000, () => 0); // => 3600
 * ```
 */
export function toFullPoolRetryAfter(holdMs: Milliseconds | undefined, random: Random): Milliseconds {
	return toMinFullPoolRetryAfter(holdMs) + ((holdMs ?? unknownHoldMs) * spreadHolds * random());
}
