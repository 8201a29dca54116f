/**
 * Overrides the state in a server's load reports with `leaving` after the server has
 * refused work as leaving. The host that polls the server keeps the overrides, as all
 * other hosts receive its reports.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type LoadReport} from '../../ports/engine.js';
import {type ServerId} from '../../ports/ids.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';

export type LeavingOverridesOptions = {
	/** Time from the refusal to the first probe, milliseconds; doubled with each failed probe. */
	firstProbeMs?: Milliseconds;
	maxProbeMs?: Milliseconds;
};

export type ReportContext = {
	/** Whether the server was considered leaving before this report. */
	wasLeaving: boolean;
	/** State in the previous report, as published by the host that polled the server then. */
	previousState: LoadReport['state'] | undefined;
	/** Whether the platform lists the server as leaving. */
	isListedLeaving: () => boolean;
};

export type LeavingOverrides = {
	/** Records that the server refused some host's work as leaving. */
	noteRefusal: (server: ServerId, now: Milliseconds) => void;
	/** Returns a report that this host polled with the effective state. */
	toEffectiveReport: (load: LoadReport, now: Milliseconds, context: ReportContext) => LoadReport;
	/** Records that a poll did not reach the server; the next answer may come from a new process. */
	noteUnreachable: (server: ServerId, now: Milliseconds) => void;
	/** Whether to probe the server now with a small piece of work; `true` once per probe. */
	takeProbe: (server: ServerId, now: Milliseconds) => boolean;
	/** Records the result of a probe. */
	noteProbeResult: (server: ServerId, isAccepted: boolean, now: Milliseconds) => void;
	/** Drops the state of a server that this host no longer polls. */
	forget: (server: ServerId) => void;
};

type Override = {
	probeAt: Milliseconds;
	/** Number of refused probes, plus the number of overrides that started again soon after an accepted probe. */
	failures: number;
	/** Whether the server itself has reported `leaving` since the refusal; the override then ends when it reports `serving`. */
	hasReportedLeaving: boolean;
	/** Whether the platform has listed the server as leaving since the refusal; the override then ends when it no longer does. */
	wasListedLeaving: boolean;
};

const defaultFirstProbeMs = 5 * msPerSecond;
const defaultMaxProbeMs = 5 * msPerMinute;

/** If a new override starts within this time after an accepted probe ended the previous one, the probe delay continues to double instead of starting again at the first delay. */
const repeatWindowMs = msPerMinute;

/**
 * Creates the overrides of one host. A server that refuses work as leaving but
 * reports `serving` would be sent work again after each report, and each time a
 * caller would lose an attempt. A refusal is therefore in force until there is better
 * evidence than such a report:
 *
 * - the server itself has reported `leaving` since the refusal, and now reports
 *   `serving`;
 * - the platform has listed the server as leaving since the refusal, and no longer
 *   does. A list that never showed the server as leaving is no evidence, as the list
 *   is published late and again with each change of any server;
 * - the server accepts a probe, a single small piece of work that the polling host
 *   sends 5 s after the refusal, then after twice the time, up to 5 min.
 *
 * The probe brings a healthy server back after a mistaken refusal. A server that was
 * unreachable since the refusal may be a new process and is probed at once.
 *
 * @param options - Probe delays.
 * @returns See {@link LeavingOverrides}.
 *
 * @example
 * const overrides = createLeavingOverrides();
 * overrides.noteRefusal('d1', now);
 * overrides.toEffectiveReport(report, now, context).state; // 'leaving'
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

	/** Finds the override that applies to a report. For the first report after another host polled the server, the override is started or ended as that host left it. */
	function findOverride({server, state}: LoadReport, now: Milliseconds, {wasLeaving, previousState}: ReportContext): Override | undefined {
		const isFirst = !polled.has(server);
		polled.add(server);
		const override = overrides.get(server);
		if (override !== undefined && isFirst && !wasLeaving) {
			overrides.delete(server);
			return undefined;
		}

		const isNew = override === undefined && (state === 'leaving' || (isFirst && previousState === 'leaving'));
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
			// If the server has reported leaving itself, or was listed as leaving, the end of that ends the override without a probe.
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
