/** An exponential moving average. */
export type MovingAverage = {
	add: (sample: number) => void;
	/** `undefined` before the first sample. */
	readonly value: number | undefined;
};

/**
 * Creates a moving average without samples.
 *
 * @param weight - Weight of the newest sample, in (0, 1].
 * @returns The average. Its first samples count as in an arithmetic mean, so that the start does not depend on one sample.
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
