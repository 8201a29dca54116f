/**
 * Sources of time and randomness. Domain functions take `now` as an argument;
 * only programs and adapters hold a {@link Clock}.
 */

/** Wall-clock time in milliseconds since the Unix epoch, or monotonic milliseconds since an arbitrary start. */
export type Milliseconds = number;

/** Longest delay of a timer in Node; a timer with a longer one fires at once. */
export const maxTimerMs: Milliseconds = 0x7F_FF_FF_FF;

export type Clock = {
	/** Wall-clock milliseconds since the Unix epoch. May jump; never used for a duration. */
	wallNow: () => Milliseconds;

	/** Monotonic milliseconds. Never jumps back; the base of every duration and deadline. */
	now: () => Milliseconds;
};

/** A source of numbers in [0, 1), seeded in tests and benches. */
export type Random = () => number;
