import {type Milliseconds} from '../../ports/clock.js';
import {msPerSecond} from '../../ports/units.js';

/** How slowly an answer may arrive. */
export type ArrivalLimits = {
	/** Time from the call to the head of its answer. */
	headMs: Milliseconds;
	/** Longest time without a byte after the head. */
	silentMs: Milliseconds;
	/** Lowest mean rate of the body, which ends an answer that comes byte by byte. */
	minBytesPerSecond: number;
};

/** What has arrived of an answer; times are monotonic milliseconds. */
export type Arrival = {
	startedAt: Milliseconds;
	/** `undefined` before the head has arrived. */
	headAt: Milliseconds | undefined;
	lastByteAt: Milliseconds;
	/** Bytes of the body. */
	bytes: number;
};

/**
 * Computes when an answer that arrives no further is late. An answer is late when it
 * stands still, whatever its length: a limit on the whole transfer would end each long
 * answer on a slow link, and so would the next attempt.
 *
 * @param limits - See {@link ArrivalLimits}.
 * @param arrival - What has arrived.
 * @returns Monotonic milliseconds by which more has to arrive.
 *
 * @example
 * ```ts
 * const limits = {headMs: 500, silentMs: 500, minBytesPerSecond: 1000};
 * toArrivalDeadline(limits, {startedAt: 0, headAt: undefined, lastByteAt: 0, bytes: 0}); // => 500
 * toArrivalDeadline(limits, {startedAt: 0, headAt: 10, lastByteAt: 900, bytes: 500_000}); // => 1400
 * ```
 */
export function toArrivalDeadline({headMs, silentMs, minBytesPerSecond}: ArrivalLimits, {startedAt, headAt, lastByteAt, bytes}: Arrival): Milliseconds {
	if (headAt === undefined) {
		return startedAt + headMs;
	}

	const earnedMs = bytes * msPerSecond / minBytesPerSecond;
	return Math.min(lastByteAt + silentMs, headAt + silentMs + earnedMs);
}
