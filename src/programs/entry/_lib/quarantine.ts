/** Handles requests that crash the servers that run them. */
import {type Log} from '../../../adapters/log/index.js';
import {type CrashSuspects} from '../../../domain/create-crash-suspects/index.js';
import {type EndPeriod} from '../../../domain/create-unresolved-runs/index.js';
import {judgeRunEnd, type RunEnd} from '../../../domain/judge-run-end/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type CrashReport} from '../../../ports/crash-reports.js';
import {type Fingerprint, type ServerId} from '../../../ports/ids.js';
import {type Outcome} from '../../../ports/outcome.js';
import {msPerSecond} from '../../../ports/units.js';
import {type ServeContext} from './serve-types.js';

/**
 * @param outcome - Outcome of the request's earlier calls.
 * @returns The problem to answer a quarantined request with.
 */
export function toQuarantineProblem(outcome: Outcome): Problem {
	return {
		kind: 'quarantined', detail: 'Several backend servers crashed while they ran this request, so it is not run again. Change the request, or ask the operators.', outcome,
	};
}

/**
 * Logs that a request is quarantined from now on.
 *
 * @param log - The log.
 * @param suspects - Crashes by request.
 * @param event - Fingerprint of the request, monotonic time, and the reporting host unless this host saw the crash itself.
 */
export function logQuarantined(log: Log, suspects: CrashSuspects, {fingerprint, now, peer}: {fingerprint: Fingerprint; now: Milliseconds; peer?: string}): void {
	const crashed = suspects.crashedServers(fingerprint, now);
	log.warn('request quarantined', {
		fingerprint, peer, count: crashed.length, servers: crashed.join(' '), remedy: 'find its requests by the fingerprint, and see why servers crash under them',
	});
}

/** A call that carried the request, and how it ended. */
export type EndedCall = {
	fingerprint: Fingerprint | undefined;
	server: ServerId;
	startedAt: Milliseconds;
	end: RunEnd;
};

type QuarantineContext = Pick<ServeContext, 'suspects' | 'services' | 'log'>;

/** Longest time from the end of a server to the removal of its entry, which expires after three missed heartbeats. */
export const entryLifetimeMs: Milliseconds = 6 * msPerSecond;

/** Time by which hosts may differ on when a server closed its connections. */
const closeSpreadMs: Milliseconds = 100;

/**
 * Counts the runs without an answer at a server that ended, as known from elsewhere
 * than those runs.
 *
 * @param server - The server.
 * @param period - When it ended.
 * @param ctx - Crashes by request, clock and log.
 */
export function noteServerEnded(server: ServerId, period: EndPeriod, {suspects, now, log}: {suspects: CrashSuspects; now: Milliseconds; log: Log}): void {
	for (const fingerprint of suspects.noteServerEnded(server, period, now)) {
		logQuarantined(log, suspects, {fingerprint, now});
	}
}

/**
 * Merges reports of another host. The server of a reported crash may have ended under
 * runs of this host too, which had no answer.
 *
 * @param reports - The reports.
 * @param ctx - Crashes by request, clock and log, and the reporting host.
 */
export function mergeCrashReports(reports: readonly CrashReport[], {suspects, now, log, peer}: {suspects: CrashSuspects; now: Milliseconds; log: Log; peer: string}): void {
	for (const fingerprint of suspects.mergeReports(reports, now)) {
		logQuarantined(log, suspects, {fingerprint, now, peer});
	}

	for (const {server, ageMs} of reports.flatMap(({crashes}) => crashes).filter(crash => crash.ageMs <= entryLifetimeMs)) {
		noteServerEnded(server, {from: now - ageMs - closeSpreadMs, to: now - ageMs}, {suspects, now, log});
	}
}

/**
 * Records what the end of a call tells about the request: whether its server
 * survived, or may have ended under it.
 *
 * @param call - See {@link EndedCall}.
 * @param ctx - Services of the entry.
 */
export function noteRunEnd({fingerprint, server, startedAt, end}: EndedCall, {suspects, services, log}: QuarantineContext): void {
	if (fingerprint === undefined) {
		return;
	}

	const now = services.clock.now();
	const verdict = judgeRunEnd(end);
	let isNew = false;
	switch (verdict) {
		case 'none': {
			return;
		}

		case 'survived': {
			suspects.noteSurvived(fingerprint, now);
			return;
		}

		case 'crashed-unless-alive': {
			isNew = suspects.noteBroken(fingerprint, server, now);
			noteServerEnded(server, {from: now - closeSpreadMs, to: now}, {suspects, now, log});
			break;
		}

		case 'survived-if-alive':
		case 'crashed-if-ended': {
			isNew = suspects.noteUnresolved({
				fingerprint, server, startedAt, isWhole: verdict === 'survived-if-alive',
			}, now);
			break;
		}
	}

	log.info('run ended without proof that its server survived', {fingerprint, server, reason: verdict});
	if (isNew) {
		logQuarantined(log, suspects, {fingerprint, now});
	}
}
