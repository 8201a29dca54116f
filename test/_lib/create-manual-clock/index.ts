/** A clock that a test moves by hand. */
import {type Clock, type Milliseconds} from '../../../src/ports/clock.js';

export type ManualClock = Clock & {
	/** Moves both times on. */
	advance: (ms: Milliseconds) => void;
	/** Sets the wall clock alone, as an operator or a time server would. */
	setWall: (ms: Milliseconds) => void;
};

/** Creates a clock that stands still until it is moved. */
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
