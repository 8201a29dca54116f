import {type Random} from '../../../ports/clock.js';

/** Random tries per requested element before the list is scanned instead. */
const triesPerDraw = 3;

/**
 * Draws distinct accepted elements at random. The cost depends on the number drawn
 * and not on the length of the list, unless few elements are accepted.
 *
 * @param list - Elements to draw from.
 * @param count - How many to draw; `Infinity` takes all accepted ones.
 * @param toValue - Gives the value of an accepted element, `undefined` for others; called at most twice per element.
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
