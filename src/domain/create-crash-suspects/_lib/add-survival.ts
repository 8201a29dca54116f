import {type Milliseconds} from '../../../ports/clock.js';
import {msPerSecond} from '../../../ports/units.js';

/** Time within which survived runs count as one; above the difference by which hosts date the same run. */
const sameRunMs: Milliseconds = msPerSecond / 5;

const maxSurvivals = 16;

/**
 * Adds the end of a survived run, unless it is known.
 *
 * @param survivals - Ends of survived runs.
 * @param at - End of the run, monotonic milliseconds.
 * @returns The ends, the latest ones if there are too many.
 */
export function addSurvival(survivals: readonly Milliseconds[], at: Milliseconds): readonly Milliseconds[] {
	const isKnown = survivals.some(known => Math.abs(known - at) < sameRunMs);
	return isKnown ? survivals : [...survivals, at].toSorted((a, b) => a - b).slice(-maxSurvivals);
}
