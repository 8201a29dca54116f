/** How long a request may wait to be started. */
import {type Milliseconds} from '../../../ports/clock.js';
import {msPerSecond} from '../../../ports/units.js';

/** Longest wait; a host that is behind for longer has more to do than it can. */
const longestWaitMs: Milliseconds = msPerSecond;

/** Share of a caller's time after which it is refused, so that it has time left for another host. */
const timeShare = 1 / 3;

/**
 * @param timeoutMs - The caller's own timeout, milliseconds; `undefined` if it states none.
 * @returns Time after which the request is refused unless it was started, milliseconds.
 */
export function toMaxWaitMs(timeoutMs: Milliseconds | undefined): Milliseconds {
	return Math.min(longestWaitMs, timeShare * (timeoutMs ?? Infinity));
}
