import {Buffer} from 'node:buffer';

/**
 * Copies a text that came off the wire. The codec cuts texts out of the frame's
 * own, and V8 keeps the whole frame alive for each of them; a table of claims
 * would hold about three times its size.
 *
 * @param text - A decoded text.
 * @returns The same text in memory of its own.
 */
export function detachText(text: string): string {
	return Buffer.from(text, 'utf8').toString('utf8');
}
