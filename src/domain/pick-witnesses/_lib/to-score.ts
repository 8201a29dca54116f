import {mixBits32} from '../../../_lib/to-hash32/index.js';

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
	// eslint-disable-next-line no-bitwise -- two hashes are mixed bit by bit
	return mixBits32(Math.imul(keyHash ^ (nameHash >>> 15), 0x9E_37_79_B1) ^ nameHash);
}
