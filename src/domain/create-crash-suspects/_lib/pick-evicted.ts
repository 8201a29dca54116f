/**
 * Picks the key to forget: the first one with the fewest crashes.
 *
 * @param counts - Keys with their numbers of crashes.
 * @returns The key; `undefined` if there is none.
 */
export function pickEvicted<Key>(counts: Iterable<readonly [Key, number]>): Key | undefined {
	let evicted: Key | undefined;
	let fewest = Infinity;
	for (const [key, count] of counts) {
		if (count < fewest) {
			evicted = key;
			fewest = count;
		}

		if (count === 0) {
			break;
		}
	}

	return evicted;
}
