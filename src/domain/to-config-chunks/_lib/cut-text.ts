/** Where a text is cut, decided line by line from the line alone. */

/**
 * Chunks are at most this many times as long as the average, so that no message
 * gets too long. Cuts made for this do not follow the content, and one in 55
 * chunks would need one at a factor of 4, against one in 3,000 at 8.
 */
const maxLengthFactor = 8;

/**
 * Cuts a text behind lines that their own content picks: each with a chance
 * that grows with its length, so that the average holds for long and short lines.
 *
 * @param text - Any text.
 * @param averageLength - Wanted average, in characters.
 * @returns Pieces that make up the text.
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

/** The end of a line; of one that is longer than a chunk, the end of its next part. */
function toLineEnd(text: string, from: number, longest: number): number {
	const lineBreak = text.indexOf('\n', from);
	const lineEnd = lineBreak === -1 ? text.length : lineBreak + 1;
	const end = Math.min(lineEnd, from + longest);
	return isInsidePair(text, end) ? end + 1 : end;
}

/** A cut between the two halves of a surrogate pair would make text that UTF-8 can't carry. */
function isInsidePair(text: string, end: number): boolean {
	const code = text.codePointAt(end - 1);
	return end < text.length && code !== undefined && code > 0xFF_FF;
}

/** Prime below 2 to the 26th, so that the products below stay exact. */
const hashModulus = 67_108_859;

function toHash(text: string, from: number, to: number): number {
	let hash = 7;
	for (let i = from; i < to; i++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- hashes UTF-16 units; code points would cost a second look at each
		hash = ((hash * 31) + text.charCodeAt(i)) % hashModulus;
	}

	return hash;
}
