import {type Milliseconds} from '../../../ports/clock.js';
import {type CrashReport} from '../../../ports/crash-reports.js';
import {type Fingerprint} from '../../../ports/ids.js';
import {type Crash, type Suspect} from './types.js';

export type ReportedSuspect = Pick<Suspect, 'seenAt' | 'clearedAt' | 'survivals'> & {
	fingerprint: Fingerprint;
	/** The crashes that count, as many as there is room for. */
	crashes: readonly Crash[];
};

/**
 * @param suspect - What this host knows of a request.
 * @param now - Monotonic milliseconds.
 * @returns The report for other hosts, with ages in place of times.
 */
export function toCrashReport({fingerprint, seenAt, clearedAt, survivals, crashes}: ReportedSuspect, now: Milliseconds): CrashReport {
	return {
		fingerprint,
		idleMs: now - seenAt,
		crashes: crashes.map(({server, at}) => ({server, ageMs: now - at})),
		...(Number.isFinite(clearedAt) && {survivedMs: now - clearedAt}),
		...(survivals.length > 0 && {survivalAgesMs: survivals.map(at => now - at)}),
	};
}
