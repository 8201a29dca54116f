/** The largest value seen in about the last window, in constant memory. */
import {type Milliseconds} from '../../../ports/clock.js';

export type Peak = {
	add: (value: number, now: Milliseconds) => void;
	at: (now: Milliseconds) => number;
};

/**
 * @param windowMs - a value counts for at least one and at most two windows.
 * @returns the peak, 0 until something was added.
 */
export function createPeak(windowMs: Milliseconds): Peak {
	let startedAt = 0;
	let current = 0;
	let previous = 0;

	function turn(now: Milliseconds): void {
		const age = now - startedAt;
		if (age < windowMs) {
			return;
		}

		previous = age < 2 * windowMs ? current : 0;
		current = 0;
		startedAt = now;
	}

	return {
		add(value, now) {
			turn(now);
			current = Math.max(current, value);
		},
		at(now) {
			turn(now);
			return Math.max(current, previous);
		},
	};
}
