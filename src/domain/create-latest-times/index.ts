import {type Milliseconds} from '../../ports/clock.js';

export type LatestTimes = {
	/** Keeps the time if it is later than the known one. */
	note: (key: string, at: Milliseconds) => void;
	/** The latest time of the key; `-Infinity` if none is known. */
	get: (key: string) => Milliseconds;
	entries: () => ReadonlyArray<[string, Milliseconds]>;
};

/**
 * Creates a record of the latest time of each key, which forgets the keys that were
 * noted longest ago.
 *
 * @param maxKeys - Number of keys that are kept.
 * @returns See {@link LatestTimes}.
 *
 * @example
 * ```ts
 * const times = createLatestTimes(100);
 * times.note('a', 7);
 * times.note('a', 5);
 * times.get('a'); // => 7
 * ```
 */
export function createLatestTimes(maxKeys: number): LatestTimes {
	const times = new Map<string, Milliseconds>();
	const get = (key: string): Milliseconds => times.get(key) ?? -Infinity;
	return {
		note(key, at) {
			if (at <= get(key)) {
				return;
			}

			times.delete(key);
			if (times.size >= maxKeys) {
				const [oldest] = times.keys();
				times.delete(oldest!);
			}

			times.set(key, at);
		},
		get,
		entries: () => [...times],
	};
}
