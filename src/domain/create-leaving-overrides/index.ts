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

type Hold = {
	probeAt: Milliseconds;
	/** Probes refused, and holds that began again soon after a probe was accepted. */
	failures: number;
	/** Whether the server said so itself, or the list, since; the end of that ends the hold. */
	saidItself: boolean;
	listed: boolean;
};

const defaultFirstProbeMs = 5 * msPerSecond;
const defaultMaxProbeMs = 5 * msPerMinute;

/** A hold that begins so soon after an accepted probe ended the last goes on with its delay. */
const memoryMs = msPerMinute;

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
 * const hold = createLeaveHold();
 * hold.noteRefusal('d1', now);
 * hold.judge(report, now, context).state; // 'leaving'
 */
export function createLeavingOverrides({firstProbeMs = defaultFirstProbeMs, maxProbeMs = defaultMaxProbeMs}: LeavingOverridesOptions = {}): LeavingOverrides {
	const holds = new Map<ServerId, Hold>();
	const ended = new Map<ServerId, {at: Milliseconds; failures: number}>();
	const polled = new Set<ServerId>();

	const toDelay = (failures: number): Milliseconds => Math.min(maxProbeMs, firstProbeMs * (2 ** Math.min(failures, 20)));

	function begin(server: ServerId, now: Milliseconds): Hold {
		const last = ended.get(server);
		const failures = last !== undefined && now - last.at < memoryMs ? last.failures + 1 : 0;
		const hold = {
			probeAt: now + toDelay(failures), failures, saidItself: false, listed: false,
		};
		holds.set(server, hold);
		return hold;
	}

	/** The hold that counts for a report; one that others ended, or began, while they polled the server, is taken as they left it. */
	function findHold({server, state}: LoadReport, now: Milliseconds, {wasLeaving, previousState: stateBefore}: ReportContext): Hold | undefined {
		const isFirst = !polled.has(server);
		polled.add(server);
		const hold = holds.get(server);
		if (hold !== undefined && isFirst && !wasLeaving) {
			holds.delete(server);
			return undefined;
		}

		const isNew = hold === undefined && (state === 'leaving' || (isFirst && stateBefore === 'leaving'));
		return isNew ? begin(server, now) : hold;
	}

	return {
		noteRefusal(server, now) {
			if (!holds.has(server)) {
				begin(server, now);
			}
		},
		toEffectiveReport(load, now, context) {
			const hold = findHold(load, now, context);
			if (hold === undefined) {
				return load;
			}

			const isListed = context.isListedLeaving();
			const isOver = (hold.saidItself && load.state === 'serving') || (hold.listed && !isListed);
			if (isOver) {
				holds.delete(load.server);
				return load;
			}

			hold.saidItself ||= load.state === 'leaving';
			hold.listed ||= isListed;
			return load.state === 'serving' ? {...load, state: 'leaving'} : load;
		},
		noteUnreachable(server, now) {
			const hold = holds.get(server);
			if (hold !== undefined) {
				hold.probeAt = Math.min(hold.probeAt, now);
			}
		},
		takeProbe(server, now) {
			const hold = holds.get(server);
			// A server that says itself that it leaves, or is listed so, needs no asking.
			if (hold === undefined || hold.saidItself || hold.listed || now < hold.probeAt) {
				return false;
			}

			hold.probeAt = Infinity;
			return true;
		},
		noteProbeResult(server, isAccepted, now) {
			const hold = holds.get(server);
			if (hold === undefined) {
				return;
			}

			if (isAccepted) {
				ended.set(server, {at: now, failures: hold.failures});
				holds.delete(server);
				return;
			}

			hold.failures += 1;
			hold.probeAt = now + toDelay(hold.failures);
		},
		forget(server) {
			polled.delete(server);
			holds.delete(server);
			ended.delete(server);
		},
	};
}
