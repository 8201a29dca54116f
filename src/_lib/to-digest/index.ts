import {createHash} from 'node:crypto';

/**
 * Digests a text.
 *
 * @param text - Any text; its UTF-8 bytes are digested.
 * @returns SHA-256 in lower-case hex.
 *
 * @example
 * ```ts
 * toDigest('').slice(0, 8); // => 'e3b0c442'
 * ```
 */
export function toDigest(text: string): string {
	return createHash('sha256').update(text, 'utf8').digest('hex');
}
