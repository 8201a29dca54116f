/** Finds the lines of an earlier list in a later one. */

export type LinePair = {
	line: string;
	/** Position of the same line in the earlier list; `undefined` when it is new. */
	from: number | undefined;
	/** Whether it is new, or has changed places with others. */
	isAdded: boolean;
};

/**
 * Pairs the lines of two lists.
 *
 * @param before - The earlier lines, each different.
 * @param after - The later lines.
 * @param mostFresh - Gives up beyond this many new lines.
 * @returns A pair for each later line, or `undefined` when it gave up.
 */
export function pairLines(before: readonly string[], after: readonly string[], mostFresh: number): readonly LinePair[] | undefined {
	const shorter = Math.min(before.length, after.length);
	let head = 0;
	while (head < shorter && before[head] === after[head]) {
		head++;
	}

	let tail = 0;
	while (tail < shorter - head && before.at(-1 - tail) === after.at(-1 - tail)) {
		tail++;
	}

	const positions = new Map(before.slice(head, before.length - tail).map((line, i) => [line, head + i]));
	let fresh = 0;
	let lastFrom = -1;
	const pairs = after.map((line, i): LinePair => {
		if (i < head) {
			return {line, from: i, isAdded: false};
		}

		if (i >= after.length - tail) {
			return {line, from: before.length - after.length + i, isAdded: false};
		}

		const from = positions.get(line);
		const isAdded = from === undefined || from <= lastFrom;
		lastFrom = isAdded ? lastFrom : from;
		fresh += from === undefined ? 1 : 0;
		return {line, from, isAdded};
	});
	return fresh > mostFresh ? undefined : pairs;
}
