/** Schedules another read of a platform value that was not accepted. */
import {type Milliseconds} from '../../../ports/clock.js';
import {msPerMinute, msPerSecond} from '../../../ports/units.js';

/** Delay of the first reread; it doubles with each further one. */
const firstRereadMs = msPerSecond;
const maxRereadMs = 5 * msPerMinute;

/** Longest delay while parts are missing. Staff publish the parts right after the root and wait for them to take effect. */
const maxPartsRereadMs = 10 * msPerSecond;

/** What became of a value: `taken` if it is held now, `refused` if not, `unfinished` if it lacks parts that may still be published. */
export type ValueVerdict = 'taken' | 'refused' | 'unfinished';

/**
 * Schedules reads of a value at a revision that was already read.
 *
 * The platform may serve a truncated or an old document and later the right one
 * under the same revision. A watch does not report that, so the edit would take
 * effect nowhere until the next edit. A plain read after a delay finds the right
 * document. The delay doubles because an invalid edit stays invalid until staff
 * publish another one.
 *
 * @param now - Monotonic milliseconds.
 * @returns `note` records the verdict on a value, `isDue` tells whether to read again, `limit` shortens the wait of a watch.
 */
export function createRereadSchedule(now: () => Milliseconds) {
	let waitMs: Milliseconds | undefined;
	let dueAt = Infinity;

	return {
		note(verdict: ValueVerdict) {
			const longestMs = verdict === 'unfinished' ? maxPartsRereadMs : maxRereadMs;
			waitMs = verdict === 'taken' ? undefined : Math.min(waitMs === undefined ? firstRereadMs : waitMs * 2, longestMs);
			dueAt = waitMs === undefined ? Infinity : now() + waitMs;
		},
		isDue: () => now() >= dueAt,
		/** Longest wait of a watch, so that the value is read again when due. */
		limit: (longestMs: Milliseconds) => Math.min(longestMs, waitMs ?? Infinity),
	};
}
