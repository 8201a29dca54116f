/**
 * Decides when a starting host may use the configuration versions that peers
 * report. The first report may come from a peer that is behind, for example
 * because its zone was cut off, so the reports are compared before one is used.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type ConfigVersion} from '../../ports/config.js';
import {type HostId} from '../../ports/ids.js';
import {compareConfigVersions} from '../compare-config-versions/index.js';

/** A version that a peer holds. */
export type ReportedVersion = {
	from: HostId;
	version: ConfigVersion;
	/** Whether the peer knows that the platform served this version and none newer. */
	isVouched: boolean;
};

export type VersionGateOptions = {
	startedAt: Milliseconds;
	/** Time after the start for which vouched versions wait for the seeds that have not been asked yet, milliseconds. */
	vouchedWaitMs: Milliseconds;
	/** Time after the start for which versions that no peer vouches for wait, milliseconds. */
	unvouchedWaitMs: Milliseconds;
};

export type VersionGate = {
	/** Records a report; it replaces the earlier one of the same peer. */
	note: (report: ReportedVersion) => void;
	/** Records that each seed has answered or is out of reach. */
	noteSeedsAsked: () => void;
	/** Lists the reports that may be used now, the newest first. */
	listUsable: (now: Milliseconds) => readonly ReportedVersion[];
	/** Lists all reports of versions above another one, the newest first. */
	listNewerThan: (version: ConfigVersion) => readonly ReportedVersion[];
};

/** Bounds the memory that reports take; the other reports repeat one of these versions in any fleet that agrees. */
const maxReports = 64;

/**
 * Creates the gate of one process without a configuration.
 *
 * @param options - See {@link VersionGateOptions}.
 * @returns See {@link VersionGate}.
 *
 * @example
 * ```ts
 * const gate = createVersionGate({startedAt: 0, vouchedWaitMs: 3000, unvouchedWaitMs: 5000});
 * gate.note({from: 'a-1', version: {edition: 1, revision: 1, digest: 'a'}, isVouched: true});
 * gate.listUsable(100); // => []
 * ```
 */
export function createVersionGate({startedAt, vouchedWaitMs, unvouchedWaitMs}: VersionGateOptions): VersionGate {
	const reports = new Map<HostId, ReportedVersion>();
	let areSeedsAsked = false;

	function isUsable({isVouched}: ReportedVersion, now: Milliseconds): boolean {
		const ageMs = now - startedAt;
		return isVouched ? areSeedsAsked || ageMs >= vouchedWaitMs : ageMs >= unvouchedWaitMs;
	}

	function listNewestFirst(isListed: (report: ReportedVersion) => boolean): readonly ReportedVersion[] {
		return [...reports.values()].filter(report => isListed(report)).sort((a, b) => compareConfigVersions(b.version, a.version));
	}

	return {
		note(report) {
			if (reports.has(report.from) || reports.size < maxReports) {
				reports.set(report.from, report);
			}
		},
		noteSeedsAsked() {
			areSeedsAsked = true;
		},
		listUsable: now => listNewestFirst(report => isUsable(report, now)),
		listNewerThan: version => listNewestFirst(report => compareConfigVersions(report.version, version) > 0),
	};
}
