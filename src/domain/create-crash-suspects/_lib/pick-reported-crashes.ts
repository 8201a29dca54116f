import {type Crash, type CrashSuspectsOptions} from './types.js';

/**
 * Picks the crashes that a report has room for.
 *
 * @param crashes - All crashes of a request.
 * @param max - Maximum number of crashes.
 * @param pickSurplus - Picks a crash to leave out; by default the last one.
 * @returns The others.
 */
export function pickReportedCrashes(crashes: readonly Crash[], max: number, pickSurplus: CrashSuspectsOptions['pickSurplus']): readonly Crash[] {
	if (pickSurplus === undefined) {
		return crashes.slice(0, max);
	}

	let kept = crashes;
	while (kept.length > max) {
		const surplus = pickSurplus(kept);
		kept = kept.filter(({server}) => server !== surplus);
	}

	return kept;
}
