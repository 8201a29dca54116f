/** Events a second of late, in constant memory. */
import {type Milliseconds} from '../../../ports/clock.js';

export type Rate = {
	add: (now: Milliseconds) => void;
	/** Takes back an event of a moment ago that will be added again. */
	remove: (now: Milliseconds) => void;
	/** Events a millisecond. */
	at: (now: Milliseconds) => number;
};

/**
 * @param memoryMs - an event's weight falls to 37 % after this time.
 * @returns the rate, 0 until something was added.
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
