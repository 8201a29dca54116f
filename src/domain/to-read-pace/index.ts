import {type Milliseconds} from '../../ports/clock.js';
import {msPerSecond} from '../../ports/units.js';

export type ReadPace = {
	/** Pause between the end of a watch and the start of the next one. */
	pauseMs: Milliseconds;
	/** Maximum duration of a watch. */
	waitMs: Milliseconds;
};

/**
 * Minimum pause. Each server writes a heartbeat about every second, and each one ends
 * a watch. If watches were renewed at once, each heartbeat would cause a read of its own:
 * with some twenty servers ten reads a second instead of one and a half.
 */
export const minPauseMs: Milliseconds = 600;

const maxPauseMs: Milliseconds = 1500;

/**
 * Time reserved for the other delays between a change and its effect: the answer of
 * a slow platform, a busy host, and a request that is already in flight.
 */
const reserveMs: Milliseconds = 1.9 * msPerSecond;

/**
 * Sum of pause and wait. The shortest outage in which entries expire is 2.4 s, and two
 * reads must start during it: a single read without an answer may be due to a connection
 * that went silent, and then servers that are missing are gone. The first read may take
 * 0.5 s longer for its answer, and 0.1 s pass before the second one.
 */
const spanMs: Milliseconds = 1.8 * msPerSecond;

/**
 * Computes how often a host reads the published entries. Every read loads the
 * platform, and hundreds of hosts read independently.
 *
 * @param actWithinMs - Time from a publication within which a host must act on it, milliseconds.
 * @returns The pause between two watches and the maximum duration of one.
 *
 * @example
 * ```ts
 * toReadPace(2000); // => {pauseMs: 600, waitMs: 1200}
 * toReadPace(4000); // => {pauseMs: 1500, waitMs: 300}
 * ```
 */
export function toReadPace(actWithinMs: Milliseconds): ReadPace {
	const pauseMs = Math.min(maxPauseMs, Math.max(minPauseMs, actWithinMs - reserveMs));
	return {pauseMs, waitMs: spanMs - pauseMs};
}
