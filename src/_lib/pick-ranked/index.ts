/* eslint-disable no-bitwise -- a hash is made of shifts and exclusive ors */
const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;

/**
 * Hashes a text to 32 bits: FNV-1a with the finaliser of MurmurHash3, so that
 * near texts come out far apart. Not for secrets.
 *
 * @param text - Any text.
 * @returns An integer from 0 to 2^32 - 1.
 */
export function toHash32(text: string): number {
	let hash = offsetBasis;
	for (let i = 0; i < text.length; i++) {
		hash = Math.imul(hash ^ text.charCodeAt(i), prime); // eslint-disable-line unicorn/prefer-code-point -- units keep this loop even and fast
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Picks names for a key by rendezvous hashing: every host picks the same from
 * the same names, and a name that goes moves only what it had won.
 *
 * @param key - What is to be placed.
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
