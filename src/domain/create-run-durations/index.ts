/** How long the latest runs of each rule took, as an estimate of the next one. */
import {type Milliseconds} from '../../ports/clock.js';

export type RunDurations = {
	/** Records a run that was answered. */
	note: (rule: string, durationMs: Milliseconds) => void;
	/**
	 * Returns the time within which the given share of the latest runs ended;
	 * `undefined` while there are too few to tell.
	 */
	toExpectedMs: (rule: string, share: number) => Milliseconds | undefined;
};

/** Runs of each rule that are remembered. */
const maxRuns = 64;
/** Fewer runs than this say too little about the next one. */
const minRuns = 5;
/** Rules that are remembered; the one that was added first is dropped first. */
const maxRules = 8192;

/**
 * Creates the durations of a host that has run nothing.
 *
 * @returns Functions that record runs and estimate the next one.
 *
 * @example
 * ```ts
 * const durations = createRunDurations();
 * for (const ms of [20, 30, 40, 50, 900]) durations.note('lookups', ms);
 * durations.toExpectedMs('lookups', 0.5); // => 40
 * durations.toExpectedMs('lookups', 1); // => 900
 * ```
 */
export function createRunDurations(): RunDurations {
	const byRule = new Map<string, Milliseconds[]>();

	function forgetFirst(): void {
		const [first] = byRule.keys();
		byRule.delete(first!);
	}

	return {
		note(rule, durationMs) {
			const known = byRule.get(rule);
			if (known === undefined) {
				if (byRule.size >= maxRules) {
					forgetFirst();
				}

				byRule.set(rule, [durationMs]);
				return;
			}

			known.push(durationMs);
			if (known.length > maxRuns) {
				known.shift();
			}
		},
		toExpectedMs(rule, share) {
			const known = byRule.get(rule) ?? [];
			if (known.length < minRuns) {
				return undefined;
			}

			const sorted = known.toSorted((a, b) => a - b);
			return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)];
		},
	};
}
