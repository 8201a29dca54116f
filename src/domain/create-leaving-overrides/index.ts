/**
 * Keeps a refusal as leaving in force while the server's own load reports go on
 * saying `serving`. Kept by the host that polls the server, whose reports all
 * others hear.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type LoadReport} from '../../ports/engine.js';
import {type ServerId} from '../../ports/ids.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';

export type LeavingOverridesOptions = {
	/** Time from the refusal to the first probe; doubled with each that fails. */
	firstProbeMs?: Milliseconds;
	maxProbeMs?: Milliseconds;
};

export type ReportContext = {
	/** What was believed of the server before this report. */
	wasLeaving: boolean;
	/** State of the report before, as the one who polled it then gave it. */
	previousState: LoadReport['state'] | undefined;
	/** Whether the platform's list has the server as leaving. */
	isListedLeaving: () => boolean;
};

export type LeavingOverrides = {
	/** Somebody was refused work because the server is leaving. */
	noteRefusal: (server: ServerId, now: Milliseconds) => void;
	/** Takes a report that this host polled; returns it with the state that counts. */
	toEffectiveReport: (load: LoadReport, now: Milliseconds, context: ReportContext) => LoadReport;
	/** A poll did not reach the server: it may be a new process that answers next. */
	noteUnreachable: (server: ServerId, now: Milliseconds) => void;
	/** Whether to ask the server now, by one small piece of work, whether it serves; `true` once for each probe. */
	takeProbe: (server: ServerId, now: Milliseconds) => boolean;
	/** How the probe ended. */
	noteProbeResult: (server: ServerId, isAccepted: boolean, now: Milliseconds) => void;
	/** This host no longer polls the server. */
	forget: (server: ServerId) => void;
};

type Override = {
	probeAt: Milliseconds;
	/** Probes refused, and holds that began again soon after a probe was accepted. */
	failures: number;
	/** Whether the server said so itself, or the list, since; the end of that ends the override. */
	hasReportedLeaving: boolean;
	wasListedLeaving: boolean;
};

const defaultFirstProbeMs = 5 * msPerSecond;
const defaultMaxProbeMs = 5 * msPerMinute;

/** A override that begins so soon after an accepted probe ended the last goes on with its delay. */
const repeatWindowMs = msPerMinute;

/**
 * Creates it. A server that refuses work as leaving and reports `serving` would
 * be offered work again with each report: its callers lose a try each time. A
 * refusal therefore stands until there is better evidence than that report:
 *
 * - the server's own report said `leaving` since, and says `serving` now;
 * - the platform's list had it as leaving since, and no longer does. That the
 *   list goes on calling it live is no evidence, as it is published late and
 *   anew with each change of any server;
 * - it accepts a probe, a single small piece of work that the polling host asks
 *   for 5 s after the refusal, then after twice the time, up to 5 min.
 *
 * The probe brings a healthy server back after one wrong refusal. A server that
 * was not reached meanwhile may be a new process and is probed at once.
 *
 * @param options - Delays of probes.
 * @returns See {@link LeavingOverrides}.
 *
 * @example
 * const override = createLeaveHold();
 * override.noteRefusal('d1', now);
 * override.judge(report, now, context).state; // 'leaving'
 */
export function createLeavingOverrides({firstProbeMs = defaultFirstProbeMs, maxProbeMs = defaultMaxProbeMs}: LeavingOverridesOptions = {}): LeavingOverrides {
	const overrides = new Map<ServerId, Override>();
	const endedOverrides = new Map<ServerId, {at: Milliseconds; failures: number}>();
	const polled = new Set<ServerId>();

	const toDelay = (failures: number): Milliseconds => Math.min(maxProbeMs, firstProbeMs * (2 ** Math.min(failures, 20)));

	function start(server: ServerId, now: Milliseconds): Override {
		const last = endedOverrides.get(server);
		const failures = last !== undefined && now - last.at < repeatWindowMs ? last.failures + 1 : 0;
		const override = {
			probeAt: now + toDelay(failures), failures, hasReportedLeaving: false, wasListedLeaving: false,
		};
		overrides.set(server, override);
		return override;
	}

	/** The override that counts for a report; one that others ended, or began, while they polled the server, is taken as they left it. */
	function findOverride({server, state}: LoadReport, now: Milliseconds, {wasLeaving, previousState: stateBefore}: ReportContext): Override | undefined {
		const isFirst = !polled.has(server);
		polled.add(server);
		const override = overrides.get(server);
		if (override !== undefined && isFirst && !wasLeaving) {
			overrides.delete(server);
			return undefined;
		}

		const isNew = override === undefined && (state === 'leaving' || (isFirst && stateBefore === 'leaving'));
		return isNew ? start(server, now) : override;
	}

	return {
		noteRefusal(server, now) {
			if (!overrides.has(server)) {
				start(server, now);
			}
		},
		toEffectiveReport(load, now, context) {
			const override = findOverride(load, now, context);
			if (override === undefined) {
				return load;
			}

			const isListed = context.isListedLeaving();
			const isOver = (override.hasReportedLeaving && load.state === 'serving') || (override.wasListedLeaving && !isListed);
			if (isOver) {
				overrides.delete(load.server);
				return load;
			}

			override.hasReportedLeaving ||= load.state === 'leaving';
			override.wasListedLeaving ||= isListed;
			return load.state === 'serving' ? {...load, state: 'leaving'} : load;
		},
		noteUnreachable(server, now) {
			const override = overrides.get(server);
			if (override !== undefined) {
				override.probeAt = Math.min(override.probeAt, now);
			}
		},
		takeProbe(server, now) {
			const override = overrides.get(server);
			// A server that says itself that it leaves, or is listed so, needs no asking.
			if (override === undefined || override.hasReportedLeaving || override.wasListedLeaving || now < override.probeAt) {
				return false;
			}

			override.probeAt = Infinity;
			return true;
		},
		noteProbeResult(server, isAccepted, now) {
			const override = overrides.get(server);
			if (override === undefined) {
				return;
			}

			if (isAccepted) {
				endedOverrides.set(server, {at: now, failures: override.failures});
				overrides.delete(server);
				return;
			}

			override.failures += 1;
			override.probeAt = now + toDelay(override.failures);
		},
		forget(server) {
			polled.delete(server);
			overrides.delete(server);
			endedOverrides.delete(server);
		},
	};
}
