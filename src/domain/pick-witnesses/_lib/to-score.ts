/* eslint-disable no-bitwise -- a hash is made of shifts and exclusive ors */
const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;

function finalise(hash: number): number {
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Hashes a name: FNV-1a over its UTF-16 units, with the finaliser of MurmurHash3.
 *
 * @param text - Key, host or zone.
 * @returns 32 bits.
 */
export function toHash(text: string): number {
	let hash = offsetBasis;
	for (let i = 0; i < text.length; i++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- units, not code points, keep this loop even and fast
		hash = Math.imul(hash ^ text.charCodeAt(i), prime);
	}

	return finalise(hash);
}

/**
 * Rendezvous score of a name for a key: the same on every host, and
 * independent between names, so that a name that comes or goes moves only the
 * keys that it itself won.
 *
 * @param keyHash - Hash of what is being placed.
 * @param nameHash - Hash of the candidate.
 * @returns 32 bits; the highest wins, and names decide between equals.
 */
export function toScore(keyHash: number, nameHash: number): number {
	return finalise(Math.imul(keyHash ^ (nameHash >>> 15), 0x9E_37_79_B1) ^ nameHash);
}
