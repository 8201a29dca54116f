/** When to read a value of the platform again that was not taken. */
import {type Milliseconds} from '../../../ports/clock.js';
import {msPerMinute, msPerSecond} from '../../../ports/units.js';

/** What was served and not taken is read again after this time, then twice it, and so on. */
const firstRereadMs = msPerSecond;
const maxRereadMs = 5 * msPerMinute;

/** A part that was published after its root is missed for no longer than this: staff wait for it. */
const maxPartsRereadMs = 10 * msPerSecond;

/** What came of a value: it is held, it is not, or it will be once parts of it are there. */
export type ValueVerdict = 'taken' | 'refused' | 'unfinished';

/**
 * When to read a value again at the revision that was seen. A platform that
 * serves a part of a document, or an old one, and then the right one under the
 * same revision gives a watch nothing to report: the edit would be in force
 * nowhere until the next one. A plain read after a wait shows it; the wait
 * doubles, since a bad edit of staff stays as it is.
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
		/** Longest wait of a watch before the value is read again. */
		limit: (longestMs: Milliseconds) => Math.min(longestMs, waitMs ?? Infinity),
	};
}
