/** Finds the lines of an earlier list in a later list. */

export type LinePairs = {
	/** The later lines. */
	lines: readonly string[];
	/** For each later line the position of the same line in the earlier list; -1 when it is new. */
	from: readonly number[];
	/** Positions of later lines that are new, or that moved relative to others. */
	added: readonly number[];
};

/**
 * Pairs the lines of two lists.
 *
 * @param before - The earlier lines, all different.
 * @param after - The later lines.
 * @param maxNewLines - Largest number of new lines.
 * @returns The pairs; `undefined` when there are more new lines.
 */
export function pairLines(before: readonly string[], after: readonly string[], maxNewLines: number): LinePairs | undefined {
	const shorter = Math.min(before.length, after.length);
	let head = 0;
	while (head < shorter && before[head] === after[head]) {
		head++;
	}

	let tail = 0;
	while (tail < shorter - head && before[before.length - 1 - tail] === after[after.length - 1 - tail]) {
		tail++;
	}

	const positions = new Map(before.slice(head, before.length - tail).map((line, i) => [line, head + i]));
	const from = after.map((line, i) => {
		if (i < head) {
			return i;
		}

		return i < after.length - tail ? positions.get(line) ?? -1 : before.length - after.length + i;
	});
	const newCount = from.filter(position => position === -1).length;
	return newCount > maxNewLines ? undefined : {lines: after, from, added: toAdded(from.slice(head, from.length - tail), head)};
}

/** Returns the positions of new and moved lines among the changed ones. Lines before and after the changed ones kept their order. */
function toAdded(changed: readonly number[], start: number): readonly number[] {
	const added: number[] = [];
	let last = -1;
	for (const [i, position] of changed.entries()) {
		if (position > last) {
			last = position;
		} else {
			added.push(start + i);
		}
	}

	return added;
}
