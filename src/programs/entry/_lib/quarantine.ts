/** Handles requests that crash the servers that run them. */
import {type CallFault} from '../../../adapters/_lib/dispatch-call/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {type CrashSuspects} from '../../../domain/create-crash-suspects/index.js';
import {type Problem} from '../../../domain/to-problem/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type Fingerprint, type ServerId} from '../../../ports/ids.js';
import {type Outcome} from '../../../ports/outcome.js';
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

/** A call whose connection broke. */
export type BrokenCall = {
	fingerprint: Fingerprint | undefined;
	server: ServerId;
	fault: Pick<CallFault, 'isClosed'>;
};

/**
 * Counts a call whose connection the server closed, because the request may have
 * crashed the server.
 *
 * @param call - The request, the server, and how the call ended.
 * @param ctx - Services of the entry.
 */
export function noteBrokenCall({fingerprint, server, fault}: BrokenCall, {suspects, services, log}: Pick<ServeContext, 'suspects' | 'services' | 'log'>): void {
	if (fingerprint === undefined || fault.isClosed !== true) {
		return;
	}

	const now = services.clock.now();
	if (suspects.noteBroken(fingerprint, server, now)) {
		logQuarantined(log, suspects, {fingerprint, now});
	}
}
