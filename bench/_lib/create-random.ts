/**
 * Creates a source of numbers from a seed: Park and Miller's generator.
 *
 * @param seed - A whole number from 1; far apart for streams that should not be alike.
 * @returns Numbers in [0, 1), the same for the same seed.
 */
export function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = (state * 16_807) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}
