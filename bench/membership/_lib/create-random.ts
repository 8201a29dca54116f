/** Park and Miller's generator. */
export function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = (state * 16_807) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}
