/** A multiplicative congruential generator, so that each run tries the same values. */
import {type Random} from '../../ports/clock.js';

const multiplier = 48_271;
const modulus = 2_147_483_647;

/**
 * Creates a source of numbers that is the same in each run.
 *
 * @returns Numbers in [0, 1).
 */
export function createRandom(): Random {
	let state = 1;
	return () => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};
}
