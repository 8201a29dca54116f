/* eslint-disable no-bitwise -- a hash is made of shifts and exclusive ors */
const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;

/**
 * Spreads the bits of a number: the finaliser of MurmurHash3.
 *
 * @param bits - A number, of which the low 32 bits count.
 * @returns An integer from 0 to 2^32 - 1.
 *
 * @example
 * ```ts
 * mixBits32(1); // => 1364076727
 * ```
 */
export function mixBits32(bits: number): number {
	bits = Math.imul(bits ^ (bits >>> 16), 0x85_EB_CA_6B);
	bits = Math.imul(bits ^ (bits >>> 13), 0xC2_B2_AE_35);
	return (bits ^ (bits >>> 16)) >>> 0;
}

/**
 * Hashes a text to 32 bits: FNV-1a over its UTF-16 units, then
 * {@link mixBits32}, so that similar texts get very different hashes. Not for secrets.
 *
 * @param text - Any text.
 * @returns An integer from 0 to 2^32 - 1.
 *
 * @example
 * ```ts
 * toHash32(''); // => 2872998923
 * ```
 */
export function toHash32(text: string): number {
	let hash = offsetBasis;
	for (let i = 0; i < text.length; i++) {
		hash = Math.imul(hash ^ text.charCodeAt(i), prime); // eslint-disable-line unicorn/prefer-code-point -- units keep this loop even and fast
	}

	return mixBits32(hash);
}
