/* eslint-disable no-bitwise -- a hash is made of shifts and exclusive ors */
const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;
const seedOfLow = 0x9E_37_79_B9;
const lowBits = 21;

/** FNV-1a over the UTF-16 units of a text, with the finaliser of MurmurHash3 so that near texts score far apart. */
function hash32(text: string, seed: number): number {
	let hash = (offsetBasis ^ seed) >>> 0;
	for (let i = 0; i < text.length; i++) {
		hash = Math.imul(hash ^ text.charCodeAt(i), prime); // eslint-disable-line unicorn/prefer-code-point -- units, not code points, keep this loop even and fast
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Rendezvous score of a name for a key: the same on every host, and
 * independent between names, so that a name that comes or goes moves only the
 * keys that it itself won.
 *
 * @param key - What is being placed.
 * @param name - Candidate.
 * @returns An integer of 53 bits; the highest wins.
 */
export function toScore(key: string, name: string): number {
	const text = `${key}\n${name}`;
	return (hash32(text, 0) * (2 ** lowBits)) + (hash32(text, seedOfLow) >>> (32 - lowBits));
}
