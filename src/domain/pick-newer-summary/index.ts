import {type Milliseconds} from '../../ports/clock.js';

/** One row as it travels. */
export type StampedRow = {
	/** Hash of pool and role. */
	key: number;
	servers: number;
	free: number;
	waitMs: Milliseconds;
};

/** A zone's summary as it travels between hosts. */
export type StampedSummary = {
	/** Hash of the zone's name. */
	zone: number;
	/** Raised with each summary of the zone; the order of summaries follows it, not any clock. */
	stamp: number;
	/** Monotonic time of this process at which it was true, at the latest. */
	at: Milliseconds;
	rows: readonly StampedRow[];
};

const toOrder = ({rows}: StampedSummary): string => rows.map(({key, servers, free, waitMs}) => `${key}/${servers}/${free}/${waitMs}`).join(' ');

function isNewer(a: StampedSummary, b: StampedSummary): boolean {
	if (a.stamp !== b.stamp) {
		return a.stamp > b.stamp;
	}

	const [orderA, orderB] = [toOrder(a), toOrder(b)];
	return orderA === orderB ? a.at < b.at : orderA > orderB;
}

/**
 * Picks which of two summaries of one zone to keep: the higher stamp; of two
 * makers' with one stamp always the same one; of two copies the one believed
 * older, so that errors of age make it older. It is the greater of the two in a
 * total order, so hosts end with the same in whatever order and however often
 * they hear them.
 *
 * @param a - One.
 * @param b - The other.
 * @returns One of the two.
 *
 * @example
 * ```ts
 * pickNewerSummary({...summary, stamp: 1}, {...summary, stamp: 2}).stamp; // => 2
 * ```
 */
export function pickNewerSummary(a: StampedSummary, b: StampedSummary): StampedSummary {
	return isNewer(a, b) ? a : b;
}
