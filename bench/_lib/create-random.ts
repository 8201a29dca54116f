/**
 * Creates a seeded random number generator (Park-Miller).
 *
 * @param seed - Integer from 1; seeds of independent streams should be far apart.
 * @returns Numbers in [0, 1), the same for the same seed.
 */
export function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = (state * 16_807) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}
