import {type Milliseconds} from '../../ports/clock.js';

export type OrderCircumstances = {
	/** Whether the server refuses an order with an old fencing number. */
	checksFence: boolean;
	/** Time since the platform, or a peer for it, last confirmed the configuration in force; `Infinity` if never. */
	confirmedAgeMs: Milliseconds;
	/** Time since the server's own last report was true. */
	reportAgeMs: Milliseconds;
	/** Time since the order was decided, measured on the monotonic clock. */
	sinceDecisionMs: Milliseconds;
};

export type OrderLimits = {
	maxConfirmedAgeMs?: Milliseconds;
	maxReportAgeMs?: Milliseconds;
	maxDecisionAgeMs?: Milliseconds;
};

const defaultMaxConfirmedAgeMs = 10_000;
const defaultMaxReportAgeMs = 5000;
const defaultMaxDecisionAgeMs = 1000;

/**
 * Whether an order may be sent now. Call it immediately before the sending,
 * with nothing awaited between: a host that was paused after it decided wakes
 * with an order from the past, and symptom would be weights of an old edition,
 * or a last copy taken away that was not the last when the host fell asleep.
 * The age of the decision catches that on any server. A server that checks
 * fences refuses an old edition by itself; for one that does not, the host's
 * own view must have been confirmed lately.
 *
 * @param circumstances - Ages, all by this host's monotonic clock.
 * @param limits - Greatest ages allowed.
 * @returns `true` if it may be sent.
 *
 * @example
 * isOrderAllowed({checksFence: true, confirmedAgeMs: Infinity, reportAgeMs: 200, sinceDecisionMs: 3}); // true
 */
export const isOrderAllowed = (circumstances: OrderCircumstances, limits: OrderLimits = {}): boolean => {
	const {checksFence, confirmedAgeMs, reportAgeMs, sinceDecisionMs} = circumstances;
	const isDecisionFresh = sinceDecisionMs <= (limits.maxDecisionAgeMs ?? defaultMaxDecisionAgeMs);
	const isReportFresh = reportAgeMs <= (limits.maxReportAgeMs ?? defaultMaxReportAgeMs);
	const isViewFresh = confirmedAgeMs <= (limits.maxConfirmedAgeMs ?? defaultMaxConfirmedAgeMs);
	return isDecisionFresh && isReportFresh && (checksFence || isViewFresh);
};
