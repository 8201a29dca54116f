/** A small seeded generator (mulberry32), so that a printed seed reproduces a storm. */

const twoTo32 = 0x1_00_00_00_00;

export type Random = {
	/** Returns a number of at least 0 and below 1. */
	next: () => number;
	/** Returns a whole number from `from` to `to`, both included. */
	between: (from: number, to: number) => number;
	isHit: (share: number) => boolean;
	pick: <T>(items: readonly T[]) => T;
};

/* eslint-disable no-bitwise -- the generator is made of 32-bit shifts */
function createMulberry(seed: number): () => number {
	let state = seed >>> 0;
	return () => {
		state = (state + 0x6D_2B_79_F5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / twoTo32;
	};
}
/* eslint-enable no-bitwise */

/**
 * Creates a generator.
 *
 * @param seed - A whole number.
 * @returns A generator that yields the same sequence for the same seed.
 */
export function createRandom(seed: number): Random {
	const next = createMulberry(seed);
	const between = (from: number, to: number): number => from + Math.floor(next() * (to - from + 1));
	return {
		next,
		between,
		isHit: share => next() < share,
		pick: items => items[between(0, items.length - 1)]!,
	};
}
