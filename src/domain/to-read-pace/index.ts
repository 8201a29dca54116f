import {type Milliseconds} from '../../ports/clock.js';
import {msPerSecond} from '../../ports/units.js';

export type ReadPace = {
	/** Between the end of a watch and the next one. */
	pauseMs: Milliseconds;
	/** Longest wait of a watch. */
	waitMs: Milliseconds;
};

/**
 * Least pause. Each server writes a heartbeat every second or so, and a watch that
 * is renewed at once would answer each of them by itself: with some twenty servers
 * ten reads a second in place of one and a half.
 */
export const minPauseMs: Milliseconds = 600;

const longestPauseMs: Milliseconds = 1500;

/**
 * Time kept for all else that stands between a change and its effect: the answer of
 * a slow platform, a busy host, and a request that is on its way already.
 */
const reserveMs: Milliseconds = 1.9 * msPerSecond;

/**
 * Pause and wait together. An outage of 2.4 s is the shortest in which entries lapse,
 * and must meet the beginning of two reads: one silent read may be that of a
 * connection which went silent by itself, and servers that are missing then are gone.
 * The first read may have 0.5 s more for its answer, and 0.1 s pass before the second.
 */
const spanMs: Milliseconds = 1.8 * msPerSecond;

/**
 * Works out how often a host reads what is published. Every read costs the
 * platform, and each of hundreds of hosts reads for itself.
 *
 * @param actWithinMs - Time from a publication within which a host must act on it, milliseconds.
 * @returns The pause between two watches and the wait of one.
 *
 * @example
 * ```ts
 * toReadPace(2000); // => {pauseMs: 600, waitMs: 1200}
 * toReadPace(4000); // => {pauseMs: 1500, waitMs: 300}
 * ```
 */
export function toReadPace(actWithinMs: Milliseconds): ReadPace {
	const pauseMs = Math.min(longestPauseMs, Math.max(minPauseMs, actWithinMs - reserveMs));
	return {pauseMs, waitMs: spanMs - pauseMs};
}
