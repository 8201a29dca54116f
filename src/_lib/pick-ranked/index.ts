import {toHash32} from '../to-hash32/index.js';

/**
 * Picks names for a key by rendezvous hashing: every host picks the same from
 * the same names, and removing a name moves only the keys that it had won.
 *
 * @param key - Key to place.
 * @param names - Candidates.
 * @param count - How many to pick.
 * @returns The winners, best first; fewer where there are fewer candidates.
 *
 * @example
 * ```ts
 * pickRanked('server-7', ['host-1', 'host-2', 'host-3'], 2).length; // => 2
 * ```
 */
export function pickRanked(key: string, names: Iterable<string>, count: number): string[] {
	return [...names]
		.map(name => ({name, score: toHash32(`${key}\n${name}`)}))
		.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
		.slice(0, count)
		.map(({name}) => name);
}
