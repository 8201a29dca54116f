/**
 * Tells refused callers when to come back, one after the other as the pool
 * drains. With one answer for all, those refused together would come back
 * together and be refused again.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {msPerSecond} from '../../../ports/units.js';
import {toRetryAfter} from '../../to-retry-after/index.js';

export type RetryTimes = {
	/** Gives one refused caller its delay; `ahead` requests wait already, `drainPerMs` leave in a millisecond. */
	next: (ahead: number, drainPerMs: number, now: Milliseconds) => Milliseconds;
};

/** Callers told to return that count at most, so that a flood of refusals is forgotten when it ends. */
const maxExpected = 1000;

/** @returns return times in constant memory. */
export function createRetryTimes(): RetryTimes {
	/** Callers told to come back for whom the pool has not had the time yet. */
	let expectedRetries = 0;
	let updatedAt = 0;

	return {
		next(ahead, drainPerMs, now) {
			expectedRetries = Math.max(0, expectedRetries - (drainPerMs * Math.max(0, now - updatedAt)));
			updatedAt = now;
			const retryAfterMs = toRetryAfter({ahead: ahead + expectedRetries + 1, drainPerSecond: drainPerMs * msPerSecond});
			expectedRetries = Math.min(maxExpected, expectedRetries + 1);
			return retryAfterMs;
		},
	};
}
