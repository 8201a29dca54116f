/** A token bucket that may go into debt by one request. */
import {type Milliseconds} from '../../ports/clock.js';
import {type BucketRate} from '../../ports/quotas.js';
import {msPerSecond} from '../../ports/units.js';

/** Longest debt, as time at the sustained rate; use that was granted elsewhere and is told late must not block a workspace for longer. */
const maxDebtMs: Milliseconds = 2 * msPerSecond;

export type TokenBucket = {
	/** Units in the bucket, below 0 in debt. */
	level: (rate: BucketRate, now: Milliseconds) => number;
	/** Removes units whatever the level is; a negative number adds units. */
	spend: (units: number, rate: BucketRate, now: Milliseconds) => void;
	/** Time until the level is above the given one. */
	waitMs: (above: number, rate: BucketRate, now: Milliseconds) => Milliseconds;
};

/**
 * Creates a token bucket. A request is granted while the level is above 0, whatever
 * it costs. If the level had to cover its cost, large requests would never be
 * granted beside a stream of small ones.
 *
 * @param level - Units in the bucket at the start.
 * @param startedAt - Monotonic milliseconds.
 * @returns Functions of the bucket. The rate may differ from call to call; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const bucket = createTokenBucket(10, 0);
 * bucket.spend(30, {perSecond: 10, burst: 10}, 0);
 * bucket.waitMs(0, {perSecond: 10, burst: 10}, 0); // => 2001
 * ```
 */
export function createTokenBucket(level: number, startedAt: Milliseconds): TokenBucket {
	let units = level;
	let filledAt = startedAt;

	function fill({perSecond, burst}: BucketRate, now: Milliseconds): void {
		units = Math.min(burst, units + (perSecond * (now - filledAt) / msPerSecond));
		filledAt = now;
	}

	return {
		level(rate, now) {
			fill(rate, now);
			return units;
		},
		spend(spent, rate, now) {
			fill(rate, now);
			const floor = Math.min(units, -(rate.burst + (rate.perSecond * maxDebtMs / msPerSecond)));
			units = Math.min(rate.burst, Math.max(floor, units - spent));
		},
		waitMs(above, rate, now) {
			fill(rate, now);
			return units > above ? 0 : Math.floor(msPerSecond * (above - units) / rate.perSecond) + 1;
		},
	};
}
