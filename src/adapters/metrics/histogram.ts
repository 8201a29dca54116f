// Imported by path, because the package's main module also loads its WebAssembly build: 17 MB of resident memory instead of 3 MB for this class alone.
import float64Histogram from 'hdr-histogram-js/dist/Float64Histogram.js';

const digits = 2;

/** Distribution of one series: values in whole steps, kept to two significant digits in bounded memory. */
export type Distribution = {
	/** Records a value in the metric's unit; negative values and NaN are ignored. */
	record: (value: number) => void;
	/** For each bound, the number of recorded values that are at most the bound. */
	countUpTo: (bounds: readonly number[]) => number[];
	quantile: (share: number) => number;
	count: () => number;
	sum: () => number;
	max: () => number;
};

/**
 * Creates the distribution of one series.
 *
 * @param step - Resolution, in the metric's unit.
 * @param highest - Largest value; higher values are recorded as this one.
 * @returns The distribution. Its memory does not grow.
 */
export function createDistribution(step: number, highest: number): Distribution {
	const top = Math.round(highest / step);
	const histogram = new float64Histogram.default(1, top, digits);
	let sum = 0;

	function record(value: number): void {
		if (value >= 0) {
			const steps = Math.min(top, Math.round(value / step));
			histogram.recordValue(steps);
			sum += value;
		}
	}

	function countUpTo(bounds: readonly number[]): number[] {
		const counts: number[] = [];
		let index = 0;
		let total = 0;
		for (const bound of bounds) {
			while (index < histogram.countsArrayLength && histogram.valueFromIndex(index) * step <= bound) {
				total += histogram.getCountAtIndex(index);
				index++;
			}

			counts.push(total);
		}

		return counts;
	}

	return {
		record,
		countUpTo,
		quantile: share => histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(share * 100) * step,
		count: () => histogram.totalCount,
		sum: () => sum,
		max: () => histogram.maxValue * step,
	};
}
