const stepsPerDoubling = 6;
const maxStep = 255;

/**
 * Encodes a count in one byte on a logarithmic scale of six steps per doubling,
 * which is accurate within 6 % from 1 up to 2^42.
 *
 * @param value - At least 0; below 1 is 0.
 * @param round - Function that rounds a fractional step.
 * @returns 0 to 255.
 *
 * @example
 * ```ts
 * fromLogStep(toLogStep(1000)); // => 1024
 * ```
 */
export function toLogStep(value: number, round: (step: number) => number = Math.round): number {
	return value < 1 ? 0 : Math.min(maxStep, 1 + round(Math.log2(value) * stepsPerDoubling));
}

/**
 * Decodes a step of {@link toLogStep}.
 *
 * @param step - 0 to 255.
 * @returns The count.
 */
export function fromLogStep(step: number): number {
	return step === 0 ? 0 : Math.round(2 ** ((step - 1) / stepsPerDoubling));
}
