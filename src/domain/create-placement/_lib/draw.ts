import {type Random} from '../../../ports/clock.js';

/** Random tries for each server wanted before the list is walked instead. */
const triesPerDraw = 3;

/**
 * Draws distinct elements at random among those accepted. Its cost follows the
 * number drawn, not the length of the list, unless few are acceptable.
 *
 * @param list - Elements to draw from.
 * @param count - How many to draw; `Infinity` takes all accepted ones.
 * @param toValue - The value of an acceptable element, `undefined` for others; called at most twice for each.
 * @param random - Numbers in [0, 1).
 * @returns The values drawn, at most `count`.
 */
export const draw = <T, V>(list: readonly T[], count: number, toValue: (element: T) => V | undefined, random: Random): V[] => {
	const drawn = new Map<number, V>();
	const tryAt = (i: number): void => {
		const value = drawn.has(i) ? undefined : toValue(list[i] as T);
		if (value !== undefined) {
			drawn.set(i, value);
		}
	};

	if (count * triesPerDraw < list.length) {
		for (let tries = 0; tries < count * triesPerDraw && drawn.size < count; tries++) {
			tryAt(Math.floor(random() * list.length));
		}
	}

	const start = drawn.size < count ? Math.floor(random() * list.length) : 0;
	for (let i = 0; i < list.length && drawn.size < count; i++) {
		tryAt((start + i) % list.length);
	}

	return [...drawn.values()];
};
