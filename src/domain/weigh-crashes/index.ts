/**
 * Weighs the evidence that a request ends servers. A survived run speaks against it,
 * but does not disprove it: a request may end servers of one software version only,
 * or some of its runs.
 */
import {type Milliseconds} from '../../ports/clock.js';

export type CrashEvidence = {
	/** Times at which servers ended under the request, in any order. */
	crashes: readonly Milliseconds[];
	/** Ends of runs that their servers survived, in any order. */
	survivals: readonly Milliseconds[];
};

export type CrashWeight = {
	/** Number of crashes less what survivals after them take away. */
	weight: number;
	/** Time of the latest survival up to which nothing counts any more; `-Infinity` if there is none. */
	clearedAt: Milliseconds;
};

/**
 * Adds up the evidence in order of time. Survivals take away no more than there is,
 * so that a request which served for long is not excused for it.
 *
 * @param evidence - See {@link CrashEvidence}.
 * @param survivalWeight - What a survival takes away, as a share of a crash; `Infinity` to clear all crashes before it.
 * @returns See {@link CrashWeight}.
 *
 * @example
 * ```ts
 * weighCrashes({crashes: [0, 2000], survivals: [1000]}, 0.5); // => {weight: 1.5, clearedAt: -Infinity}
 * weighCrashes({crashes: [0, 2000], survivals: [1000]}, 1); // => {weight: 1, clearedAt: 1000}
 * ```
 */
export function weighCrashes({crashes, survivals}: CrashEvidence, survivalWeight: number): CrashWeight {
	const events = [...crashes.map(at => ({at, isCrash: true})), ...survivals.map(at => ({at, isCrash: false}))];
	let weight = 0;
	let clearedAt = -Infinity;
	for (const {at, isCrash} of events.toSorted((a, b) => a.at - b.at || Number(b.isCrash) - Number(a.isCrash))) {
		weight = isCrash ? weight + 1 : Math.max(0, weight - survivalWeight);
		if (weight === 0) {
			clearedAt = at;
		}
	}

	return {weight, clearedAt};
}
