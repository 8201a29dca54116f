/** Picks the suspects that are reported to other hosts. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type CrashReport} from '../../../ports/crash-reports.js';
import {type Fingerprint} from '../../../ports/ids.js';
import {msPerSecond} from '../../../ports/units.js';
import {type Crash, type CrashSuspects, type Suspect} from './types.js';

export type ReportQueue = Pick<CrashSuspects, 'toReports' | 'takeChanged' | 'takeOverdue' | 'listReports'> & {
	/** Notes that other hosts have to be told of a suspect. */
	noteChanged: (fingerprint: Fingerprint) => void;
	forget: (fingerprint: Fingerprint) => void;
};

export type ReportQueueOptions = {
	suspects: ReadonlyMap<Fingerprint, Suspect>;
	/** Returns the crashes of a suspect that count. */
	listCrashes: (suspect: Suspect) => readonly Crash[];
	toReport: (fingerprint: Fingerprint, suspect: Suspect, now: Milliseconds) => CrashReport;
};

/** Time for which a request's first crash is reported; after it, all hosts have received the report or the request was not the cause. */
const freshCrashMs: Milliseconds = 5 * msPerSecond;

/** Time after which a first crash is reported again: its reports are kept by few hosts, which may have been replaced since. */
const reportAgainMs: Milliseconds = 10 * msPerSecond;

/** Number of crashes from which a request is reported for as long as it is a suspect. */
const minCrashesToRepeat = 2;

/**
 * Creates the queue of one host.
 *
 * @param options - The suspects, and how they are reported.
 * @returns See {@link ReportQueue}.
 */
export function createReportQueue({suspects, listCrashes, toReport}: ReportQueueOptions): ReportQueue {
	const changed = new Set<Fingerprint>();
	let offset = 0;

	function isReportable(crashes: readonly Crash[], minFreshCrashes: number, now: Milliseconds): boolean {
		return crashes.length >= minCrashesToRepeat || (crashes.length >= minFreshCrashes && crashes.some(({at}) => now - at <= freshCrashMs));
	}

	return {
		noteChanged(fingerprint) {
			changed.add(fingerprint);
		},
		forget(fingerprint) {
			changed.delete(fingerprint);
		},
		toReports(now, {minFreshCrashes, limit}) {
			const reportable = [...suspects].filter(([, suspect]) => isReportable(listCrashes(suspect), minFreshCrashes, now));
			offset = reportable.length <= limit ? 0 : (offset + limit) % reportable.length;
			return [...reportable, ...reportable]
				.slice(offset, offset + Math.min(limit, reportable.length))
				.map(([fingerprint, suspect]) => toReport(fingerprint, suspect, now));
		},
		takeChanged(now, limit) {
			const taken = [...changed].toSorted((a, b) => suspects.get(b)!.mostCrashes - suspects.get(a)!.mostCrashes).slice(0, limit);
			return taken.map(fingerprint => {
				changed.delete(fingerprint);
				const suspect = suspects.get(fingerprint)!;
				suspect.reportedAt = now;
				return {...toReport(fingerprint, suspect, now), mostCrashes: suspect.mostCrashes};
			});
		},
		takeOverdue(now, limit) {
			const overdue = [...suspects].filter(([, suspect]) => now - suspect.reportedAt >= reportAgainMs && listCrashes(suspect).length === 1).slice(0, limit);
			return overdue.map(([fingerprint, suspect]) => {
				suspect.reportedAt = now;
				return toReport(fingerprint, suspect, now);
			});
		},
		listReports: now => [...suspects]
			.filter(([, suspect]) => listCrashes(suspect).length > 0)
			.map(([fingerprint, suspect]) => toReport(fingerprint, suspect, now)),
	};
}
