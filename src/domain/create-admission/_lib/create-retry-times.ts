/**
 * Assigns retry delays to refused callers, one after the other as the pool drains.
 * With the same delay for all, callers that were refused together would retry
 * together and be refused again.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {msPerSecond} from '../../../ports/units.js';
import {toRetryAfter} from '../../to-retry-after/index.js';

export type RetryTimes = {
	/** Returns the delay for one refused caller; `ahead` requests are queued, and `drainPerMs` requests leave per millisecond. */
	next: (ahead: number, drainPerMs: number, now: Milliseconds) => Milliseconds;
};

/** Maximum number of expected retries that are counted, so that a flood of refusals does not affect delays long after it. */
const maxExpected = 1000;

/** @returns See {@link RetryTimes}; the state has constant size. */
export function createRetryTimes(): RetryTimes {
	/** Callers that were told to retry and whose turn has not come yet. */
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
