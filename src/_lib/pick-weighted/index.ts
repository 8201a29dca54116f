import {type Random} from '../../ports/clock.js';

/**
 * Picks a random entry of a list by weight.
 *
 * @param entries - Entries with weights of 0 or more.
 * @param random - Source of random numbers from 0 up to, but not including, 1.
 * @returns The entry; `undefined` when the list is empty or all weights are 0.
 *
 * @example
 * ```ts
 * pickWeighted([{pool: 'a', weight: 90}, {pool: 'b', weight: 10}], () => 0.95)?.pool; // => 'b'
 * ```
 */
export function pickWeighted<Entry extends {weight: number}>(entries: readonly Entry[], random: Random): Entry | undefined {
	const total = entries.reduce((sum, {weight}) => sum + weight, 0);
	let point = random() * total;
	for (const entry of entries) {
		point -= entry.weight;
		if (entry.weight > 0 && point < 0) {
			return entry;
		}
	}

	return entries.findLast(({weight}) => weight > 0);
}
