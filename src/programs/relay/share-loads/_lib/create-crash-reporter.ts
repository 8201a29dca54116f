/**
 * Sends reports of crashes to other hosts: changes at once, known crashes to hosts
 * that have missed them, and repeated crashes in the messages of each round.
 */
import {createTokenBucket} from '../../../../domain/create-token-bucket/index.js';
import {type CrashSuspects} from '../../../../domain/create-crash-suspects/index.js';
import {type PeerList} from '../../../../domain/create-peer-list/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {type CrashReport} from '../../../../ports/crash-reports.js';
import {type Incarnation} from '../../../../ports/ids.js';
import {type BucketRate} from '../../../../ports/quotas.js';
import {type HostLoad} from '../../../../ports/shared-loads.js';
import {bytesPerKibibyte} from '../../../../ports/units.js';
import {createSilenceWatch} from './create-silence-watch.js';

/** Bound on crash reports in a message sent right after a crash; most reports are of one crash and take some 50 bytes. */
const maxReports = 16;

/** The same bound where most reports are of suspects of one server, and take some 12 bytes. */
const maxReportsOfMany = 48;

/** Bound on crash reports in a round's message; a host of a large fleet sends some twenty of these messages a second. */
const maxReportsPerRound = 5;

/** The same bound where there are many suspects, with more crashes each. */
const maxReportsOfManyPerRound = 1;

/** Bytes a second for reports of changes where there are many suspects; those with the most crashes go first. */
const manyRate = {
	small: {perSecond: 3 * bytesPerKibibyte, burst: 6 * bytesPerKibibyte},
	large: {perSecond: bytesPerKibibyte, burst: 4 * bytesPerKibibyte},
} as const satisfies Record<string, BucketRate>;

/** Estimated size of a report, and of each crash in it. */
const reportBytes = 16;
const crashBytes = 18;

/** Bound on crash reports for a host of a small fleet that was not heard for some time. */
const maxReportsToSilent = 64;

/**
 * Number of crashes of one request from which on all hosts of a large fleet are
 * told. The first crash, after which most suspects are only victims of another
 * request, is reported only to the few hosts that collect reports of this request.
 */
const minCrashesToBroadcast = 2;

export type CrashReporterOptions = {
	suspects: CrashSuspects;
	/**
	 * Whether a server that ends makes many suspects. First crashes are then reported to
	 * their collectors alone also in a small fleet, and reports are spread over time.
	 */
	hasManySuspects?: boolean;
	peers: PeerList;
	/** Sends a message to each address. */
	send: (message: {loads: readonly HostLoad[]; crashes: readonly CrashReport[]}, to: readonly string[]) => void;
};

export type CrashReporter = {
	/** Records that a host was heard, which may have missed earlier reports. */
	noteHeard: (address: string, incarnation: Incarnation, now: Milliseconds) => void;
	/** Sends what has changed; called many times a second. */
	sendChanged: (loads: readonly HostLoad[], now: Milliseconds) => void;
	/** Sends what other hosts may have missed; called once a round. */
	sendKnown: (loads: readonly HostLoad[], now: Milliseconds) => void;
	/** Reports for the messages of a round. */
	toRoundReports: (now: Milliseconds) => readonly CrashReport[];
};

/** Number of hosts that collect the reports of a request or part. */
const maxCollectors = 3;

function toBytes(reports: readonly CrashReport[]): number {
	const crashes = reports.flatMap(report => report.crashes);
	return (reports.length * reportBytes) + (crashes.length * crashBytes);
}

/**
 * Creates the sender of one host's reports.
 *
 * @param options - See {@link CrashReporterOptions}.
 * @returns See {@link CrashReporter}.
 */
export function createCrashReporter({suspects, hasManySuspects = false, peers, send}: CrashReporterOptions): CrashReporter {
	const wasSilent = createSilenceWatch();
	/** Hosts that may have missed reports. */
	const behind = new Set<string>();

	const bucket = createTokenBucket(manyRate.small.burst, 0);

	const hasCollectors = (now: Milliseconds): boolean => hasManySuspects || peers.isLarge(now);

	/** Returns the number of crashes from which on a request is reported to all hosts; below it, only collectors are told. */
	const toMinCrashes = (now: Milliseconds): number => hasCollectors(now) ? minCrashesToBroadcast : 1;

	function sendToCollectors(loads: readonly HostLoad[], reports: readonly CrashReport[]): void {
		const byCollector = new Map<string, CrashReport[]>();
		for (const report of reports) {
			for (const collector of peers.collectors(report.fingerprint)) {
				byCollector.set(collector, [...byCollector.get(collector) ?? [], report]);
			}
		}

		for (const [collector, crashes] of byCollector) {
			send({loads, crashes}, [collector]);
		}
	}

	/** Sends new crash reports at once. A request that crashes servers may reach any host next, so each host that receives a report forwards it. */
	function sendChanged(loads: readonly HostLoad[], now: Milliseconds): void {
		const rate = peers.isLarge(now) ? manyRate.large : manyRate.small;
		if (hasManySuspects && bucket.level(rate, now) <= 0) {
			return;
		}

		const changed = suspects.takeChanged(now, hasManySuspects ? maxReportsOfMany : maxReports);
		const leastCrashes = toMinCrashes(now);
		const crashes = changed.filter(report => report.mostCrashes >= leastCrashes);
		const others = [...peers.directPeers(now), ...peers.remotePeers(now)];
		if (crashes.length > 0) {
			send({loads, crashes}, others);
		}

		const ofCollectors = changed.filter(report => report.mostCrashes < leastCrashes);
		sendToCollectors(loads, ofCollectors);
		bucket.spend((toBytes(crashes) * others.length) + (toBytes(ofCollectors) * maxCollectors), rate, now);
	}

	/**
	 * Reports known crashes to hosts that may have missed them. In a large fleet, where
	 * a host hears few others, it can't tell which hosts these are, so it repeats first
	 * crashes to their collectors; others are repeated in each round.
	 */
	function sendKnown(loads: readonly HostLoad[], now: Milliseconds): void {
		if (hasCollectors(now)) {
			sendToCollectors(loads, suspects.takeOverdue(now, maxReportsPerRound));
		}

		const reports = behind.size === 0 || peers.isLarge(now) ? [] : suspects.listReports(now).slice(-maxReportsToSilent);
		for (const address of behind) {
			for (let first = 0; first < reports.length; first += maxReports) {
				send({loads: [], crashes: reports.slice(first, first + maxReports)}, [address]);
			}
		}

		behind.clear();
	}

	return {
		noteHeard(address, incarnation, now) {
			if (wasSilent(address, incarnation, now)) {
				behind.add(address);
			}
		},
		sendChanged,
		sendKnown,
		toRoundReports: now => suspects.toReports(now, {minFreshCrashes: toMinCrashes(now), limit: hasManySuspects ? maxReportsOfManyPerRound : maxReportsPerRound}),
	};
}
