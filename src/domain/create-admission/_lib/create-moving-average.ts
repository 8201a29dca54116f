/** A mean that forgets: each sample moves it by a fixed part of the distance. */
export type MovingAverage = {
	add: (sample: number) => void;
	/** `undefined` before the first sample. */
	readonly value: number | undefined;
};

/**
 * @param weight - part of the distance that one sample moves the mean, in (0, 1].
 * @returns the mean. Its first samples count as in a plain average, so that the start does not depend on one sample.
 */
export function createMovingAverage(weight: number): MovingAverage {
	let mean: number | undefined;
	let count = 0;

	return {
		add(sample) {
			count += 1;
			mean = mean === undefined ? sample : mean + ((sample - mean) * Math.max(weight, 1 / count));
		},
		get value() {
			return mean;
		},
	};
}
