import {type Milliseconds} from '../../ports/clock.js';

/** One row of a summary in a message. */
export type StampedRow = {
	/** Hash of pool and role. */
	key: number;
	servers: number;
	free: number;
	waitMs: Milliseconds;
};

/** A zone's summary in a message between hosts. */
export type StampedSummary = {
	/** Hash of the zone's name. */
	zone: number;
	/** Version of the zone's summary; it orders summaries, so that no clocks are compared. */
	stamp: number;
	/** Latest monotonic time of this process at which the summary can have been true. */
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
 * Picks which of two summaries of one zone to keep: the one with the higher stamp;
 * of two different ones with the same stamp always the same one; of two copies the
 * older one, so that errors of the age never make a summary look younger. The result
 * is the greater one in a total order, so hosts converge on the same summary in
 * whatever order and however often they receive them.
 *
 * @param a - A summary.
 * @param b - Another summary of the same zone.
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
