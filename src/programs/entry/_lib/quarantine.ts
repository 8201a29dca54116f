/** Handles requests, and parts of prompts, under which servers crash. */
import {type Log} from '../../../adapters/log/index.js';
import {type CrashSuspects} from '../../../domain/create-crash-suspects/index.js';
import {judgeRunEnd, type RunEnd, type RunVerdict} from '../../../domain/judge-run-end/index.js';
import {type EndPeriod} from '../../../domain/judge-survival/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type CrashReport} from '../../../ports/crash-reports.js';
import {type Fingerprint, type PartKey, type ServerId} from '../../../ports/ids.js';
import {type Outcome} from '../../../ports/outcome.js';
import {msPerSecond} from '../../../ports/units.js';
import {type ServeContext} from './serve-types.js';

/** Why a request is not run: servers crashed under the request itself, or under parts of its prompt. */
export type QuarantineCause = 'request' | 'parts';

/**
 * @param cause - Why the request is not run.
 * @param outcome - Outcome of the request's earlier calls.
 * @returns The problem to answer a quarantined request with.
 */
export function toQuarantineProblem(cause: QuarantineCause, outcome: Outcome): Problem {
	return cause === 'request'
		? {kind: 'quarantined', detail: 'Several backend servers crashed while they ran this request, so it is not run again. Change the request, or ask the operators.', outcome}
		: {kind: 'part-quarantined', detail: 'Several backend servers crashed while they ran requests that share a part of this prompt, so it is not run. Send it without that part, or ask the operators.', outcome};
}

/** What decides whether a request may be sent to a server. */
export type QuarantineSubject = {
	fingerprint: Fingerprint | undefined;
	parts: readonly PartKey[];
	/** Whether the request is a trial of parts that are quarantined. */
	isTrial: boolean;
};

/**
 * Finds why a request may not be sent to a server.
 *
 * @param subject - The request.
 * @param ctx - Crashes by request and by part, and the time.
 * @returns The cause; `undefined` if the request may be sent.
 */
export function findQuarantine({fingerprint, parts, isTrial}: QuarantineSubject, {suspects, partQuarantine, now}: Omit<CrashContext, 'log'>): QuarantineCause | undefined {
	if (fingerprint !== undefined && suspects.isQuarantined(fingerprint, now)) {
		return 'request';
	}

	return isTrial || partQuarantine.findBlamed(parts, now) === undefined ? undefined : 'parts';
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

/** Logs the groups of parts that are blamed since the last call, and those that no longer are. */
function logPartChanges({partQuarantine, now, log}: Pick<CrashContext, 'partQuarantine' | 'now' | 'log'>, peer?: string): void {
	const {blamed, freed} = partQuarantine.takeChanges(now);
	for (const {parts, crashes} of blamed) {
		log.warn('prompt parts quarantined', {
			parts: parts.join(' '), peer, count: crashes.length, servers: crashes.map(({server}) => server).join(' '), remedy: 'find requests by their parts, and see why servers crash under them',
		});
	}

	for (const parts of freed) {
		log.info('prompt parts released', {parts: parts.join(' ')});
	}
}

/** A call that carried the request, and how it ended. */
export type EndedCall = {
	fingerprint: Fingerprint | undefined;
	/** Parts of the prompt that other requests may share. */
	parts: readonly PartKey[];
	server: ServerId;
	startedAt: Milliseconds;
	end: RunEnd;
};

/** What hosts remember of servers that crashed, at a monotonic time. */
export type CrashContext = Pick<ServeContext, 'suspects' | 'partQuarantine' | 'log'> & {now: Milliseconds};

/** Longest time from the end of a server to the removal of its entry, which expires after three missed heartbeats. */
export const entryLifetimeMs: Milliseconds = 6 * msPerSecond;

/** Time by which hosts may differ on when a server closed its connections. */
const closeSpreadMs: Milliseconds = 100;

function countEndedRuns(server: ServerId, period: EndPeriod, {suspects, partQuarantine, now, log}: CrashContext): void {
	for (const fingerprint of suspects.noteServerEnded(server, period, now)) {
		logQuarantined(log, suspects, {fingerprint, now});
	}

	partQuarantine.suspects.noteServerEnded(server, period, now);
}

/**
 * Counts the runs without an answer at a server that ended, as known from elsewhere
 * than those runs.
 *
 * @param server - The server.
 * @param period - When it ended.
 * @param ctx - Crashes by request and by part, time and log.
 */
export function noteServerEnded(server: ServerId, period: EndPeriod, ctx: CrashContext): void {
	countEndedRuns(server, period, ctx);
	logPartChanges(ctx);
}

/** Reports of another host: crashes by request, and by part of prompts. */
export type ReportedCrashes = {crashes: readonly CrashReport[]; partCrashes: readonly CrashReport[]};

/**
 * Merges reports of another host. The server of a reported crash may have ended under
 * runs of this host too, which had no answer.
 *
 * @param reported - The reports.
 * @param ctx - Crashes by request and by part, time and log, and the reporting host.
 */
export function mergeCrashReports({crashes, partCrashes}: ReportedCrashes, ctx: CrashContext & {peer: string}): void {
	const {suspects, partQuarantine, now, log, peer} = ctx;
	for (const fingerprint of suspects.mergeReports(crashes, now)) {
		logQuarantined(log, suspects, {fingerprint, now, peer});
	}

	partQuarantine.suspects.mergeReports(partCrashes, now);
	const ended = new Map([...crashes, ...partCrashes].flatMap(report => report.crashes).map(({server, ageMs}) => [server, ageMs]));
	for (const [server, ageMs] of ended) {
		if (ageMs <= entryLifetimeMs) {
			countEndedRuns(server, {from: now - ageMs - closeSpreadMs, to: now - ageMs}, ctx);
		}
	}

	if (ended.size > 0 || partCrashes.length > 0) {
		logPartChanges(ctx, peer);
	}
}

/**
 * Records what the end of a call tells about the request and the parts of its prompt:
 * whether the server survived them, or may have ended under them.
 *
 * @param call - See {@link EndedCall}.
 * @param ctx - Services of the entry.
 */
export function noteRunEnd({fingerprint, parts, server, startedAt, end}: EndedCall, {suspects, partQuarantine, services, log}: Omit<CrashContext, 'now'> & Pick<ServeContext, 'services'>): void {
	const now = services.clock.now();
	const ctx: CrashContext = {
		suspects, partQuarantine, now, log,
	};
	const verdict = judgeRunEnd(end);
	const subjects = [
		...(fingerprint === undefined ? [] : [{key: fingerprint, record: suspects}]),
		...parts.map(key => ({key, record: partQuarantine.suspects})),
	];
	if (verdict === 'none' || subjects.length === 0) {
		return;
	}

	for (const {key, record} of subjects) {
		const isNew = noteVerdict(record, {
			fingerprint: key, server, startedAt, verdict,
		}, now);
		if (isNew && record === suspects) {
			logQuarantined(log, suspects, {fingerprint: key, now});
		}
	}

	if (verdict === 'crashed-unless-alive') {
		countEndedRuns(server, {from: now - closeSpreadMs, to: now}, ctx);
	}

	logPartChanges(ctx);
	if (verdict !== 'survived' && fingerprint !== undefined) {
		log.info('run ended without proof that its server survived', {fingerprint, server, reason: verdict});
	}
}

/** A run of a request or, by the key in place of the fingerprint, of a part. */
type JudgedRun = {fingerprint: Fingerprint; server: ServerId; startedAt: Milliseconds; verdict: Exclude<RunVerdict, 'none'>};

/** Records the end of a run; returns whether it puts the request, or the part by itself, in quarantine. */
function noteVerdict(record: CrashSuspects, {fingerprint, server, startedAt, verdict}: JudgedRun, now: Milliseconds): boolean {
	switch (verdict) {
		case 'survived': {
			record.noteSurvived(fingerprint, server, now);
			return false;
		}

		case 'crashed-unless-alive': {
			return record.noteBroken(fingerprint, server, now);
		}

		case 'survived-if-alive':
		case 'crashed-if-ended': {
			return record.noteUnresolved({
				fingerprint, server, startedAt, isWhole: verdict === 'survived-if-alive',
			}, now);
		}
	}
}
