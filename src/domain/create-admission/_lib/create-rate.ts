/** Measures the recent rate of events in constant memory, with exponential decay. */
import {type Milliseconds} from '../../../ports/clock.js';

export type Rate = {
	add: (now: Milliseconds) => void;
	/** Removes a recent event that will be added again. */
	remove: (now: Milliseconds) => void;
	/** Rate at `now`, events per millisecond. */
	at: (now: Milliseconds) => number;
};

/**
 * Creates a rate of 0.
 *
 * @param memoryMs - Time after which the weight of an event has decayed to 37 %, milliseconds.
 * @returns See {@link Rate}.
 */
export function createRate(memoryMs: Milliseconds): Rate {
	let rate = 0;
	let updatedAt = 0;

	function decay(now: Milliseconds): void {
		rate *= Math.exp(-Math.max(0, now - updatedAt) / memoryMs);
		updatedAt = now;
	}

	return {
		add(now) {
			decay(now);
			rate += 1 / memoryMs;
		},
		remove(now) {
			decay(now);
			rate = Math.max(0, rate - (1 / memoryMs));
		},
		at(now) {
			decay(now);
			return rate;
		},
	};
}
