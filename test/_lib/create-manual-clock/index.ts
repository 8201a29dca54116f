/** A clock that advances only when a test sets it. */
import {type Clock, type Milliseconds} from '../../../src/ports/clock.js';

export type ManualClock = Clock & {
	/** Advances the wall clock and the monotonic clock. */
	advance: (ms: Milliseconds) => void;
	/** Sets only the wall clock, as an operator or a time server would. */
	setWall: (ms: Milliseconds) => void;
};

/** Creates a clock that does not advance by itself. */
export function createManualClock({wall = 1_700_000_000_000, monotonic = 0}: {wall?: Milliseconds; monotonic?: Milliseconds} = {}): ManualClock {
	let wallNow = wall;
	let now = monotonic;
	return {
		wallNow: () => wallNow,
		now: () => now,
		advance(ms) {
			wallNow += ms;
			now += ms;
		},
		setWall(ms) {
			wallNow = ms;
		},
	};
}
