/** A multiplicative congruential generator, so that each run uses the same values. */
import {type Random} from '../../ports/clock.js';

const multiplier = 48_271;
const modulus = 2_147_483_647;

/**
 * Creates a deterministic random number generator.
 *
 * @param seed - A whole number above 0.
 * @returns Numbers in [0, 1).
 */
export function createRandom(seed = 1): Random {
	let state = seed;
	return () => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};
}
