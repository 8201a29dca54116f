/**
 * Finds the known name that somebody most likely meant, for "did you mean" in messages.
 *
 * @param name - The name as it was written.
 * @param known - The names that exist.
 * @returns The nearest known name, or `undefined` when none is near: more than a third of the letters, at least two, would have to change.
 *
 * @example
 * ```ts
 * pickNearestName('bnd', ['bind', 'zone']); // => 'bind'
 * pickNearestName('xyzzy', ['bind', 'zone']); // => undefined
 * ```
 */
export function pickNearestName(name: string, known: readonly string[]): string | undefined {
	const limit = Math.max(2, Math.floor(name.length / 3));
	let best: string | undefined;
	let bestDistance = limit + 1;
	for (const candidate of known) {
		const distance = toEditDistance(name.toLowerCase(), candidate.toLowerCase());
		if (distance < bestDistance) {
			best = candidate;
			bestDistance = distance;
		}
	}

	return best;
}

/** Levenshtein distance, one row of the matrix at a time. */
function toEditDistance(left: string, right: string): number {
	let row = Array.from({length: right.length + 1}, (_, i) => i);
	for (let i = 1; i <= left.length; i++) {
		const next = [i];
		for (let j = 1; j <= right.length; j++) {
			const replaced = row[j - 1]! + (left[i - 1] === right[j - 1] ? 0 : 1);
			next.push(Math.min(replaced, row[j]! + 1, next[j - 1]! + 1));
		}

		row = next;
	}

	return row[right.length]!;
}
