/** Content-defined chunking: whether a text is cut after a line depends on that line alone. */

/**
 * Chunks are at most this many times as long as the average, which bounds the size
 * of a message. A cut that enforces the limit does not follow the content. With a
 * factor of 4 one in 55 chunks would need such a cut, with 8 only one in 3,000.
 */
const maxLengthFactor = 8;

/**
 * Cuts a text after lines that a hash of their content selects. The probability of
 * a cut grows with the length of the line, so the average holds for long and for
 * short lines.
 *
 * @param text - Any text.
 * @param averageLength - Average length of a piece, in characters.
 * @returns Pieces that join to the text.
 */
export function cutText(text: string, averageLength: number): readonly string[] {
	const pieces: string[] = [];
	const longest = averageLength * maxLengthFactor;
	let start = 0;
	let lineStart = 0;
	while (lineStart < text.length) {
		const lineEnd = toLineEnd(text, lineStart, averageLength);
		if (lineEnd - start > longest && lineStart > start) {
			pieces.push(text.slice(start, lineStart));
			start = lineStart;
		}

		if (toHash(text, lineStart, lineEnd) % averageLength < lineEnd - lineStart) {
			pieces.push(text.slice(start, lineEnd));
			start = lineEnd;
		}

		lineStart = lineEnd;
	}

	return start < text.length ? [...pieces, text.slice(start)] : pieces;
}

/** Returns the end of a line; a line longer than an average chunk is cut there. */
function toLineEnd(text: string, from: number, longest: number): number {
	const lineBreak = text.indexOf('\n', from);
	const lineEnd = lineBreak === -1 ? text.length : lineBreak + 1;
	const end = Math.min(lineEnd, from + longest);
	return isInsidePair(text, end) ? end + 1 : end;
}

/** Tells whether an offset is between the halves of a surrogate pair. A cut there would give pieces that UTF-8 can't encode. */
function isInsidePair(text: string, end: number): boolean {
	const code = text.codePointAt(end - 1);
	return end < text.length && code !== undefined && code > 0xFF_FF;
}

/** A prime below 2 to the 26th, so that the products in `toHash` are exact integers. */
const hashModulus = 67_108_859;

function toHash(text: string, from: number, to: number): number {
	let hash = 7;
	for (let i = from; i < to; i++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- hashes UTF-16 units; reading code points would cost a second access per unit
		hash = ((hash * 31) + text.charCodeAt(i)) % hashModulus;
	}

	return hash;
}
