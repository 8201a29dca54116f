/** Fits straight lines to measured points. */

export type Point = {
	size: number;
	value: number;
};

export type Fit = {
	slope: number;
	intercept: number;
	/** Coefficient of determination: share of the variance that the line explains; 1 is a perfect fit. */
	r2: number;
};

/**
 * Fits a line by least squares.
 *
 * @param points - At least two points of different sizes.
 * @returns Slope, intercept and quality of the fit.
 *
 * @example
 * ```ts
 * toFit([{size: 1, value: 3}, {size: 2, value: 5}]); // => {slope: 2, intercept: 1, r2: 1}
 * ```
 */
export function toFit(points: readonly Point[]): Fit {
	const count = points.length;
	const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count;
	const meanValue = points.reduce((sum, {value}) => sum + value, 0) / count;
	const covariance = points.reduce((sum, {size, value}) => sum + ((size - meanSize) * (value - meanValue)), 0);
	const variance = points.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
	const slope = covariance / variance;
	const intercept = meanValue - (slope * meanSize);
	const total = points.reduce((sum, {value}) => sum + ((value - meanValue) ** 2), 0);
	const rest = points.reduce((sum, {size, value}) => sum + ((value - intercept - (slope * size)) ** 2), 0);
	return {slope, intercept, r2: total === 0 ? 1 : 1 - (rest / total)};
}
