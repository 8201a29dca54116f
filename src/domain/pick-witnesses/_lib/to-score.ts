import {mixBits32} from '../../../_lib/to-hash32/index.js';

/**
 * Computes the rendezvous score of a name for a key. The score is the same on
 * every host, and scores of names are independent, so that adding or removing a
 * name moves only the keys for which that name has the highest score.
 *
 * @param keyHash - Hash of the key to place.
 * @param nameHash - Hash of the candidate.
 * @returns 32 bits; the highest score wins, and equal scores are ordered by name.
 */
export function toScore(keyHash: number, nameHash: number): number {
	// eslint-disable-next-line no-bitwise -- two hashes are mixed bit by bit
	return mixBits32(Math.imul(keyHash ^ (nameHash >>> 15), 0x9E_37_79_B1) ^ nameHash);
}
