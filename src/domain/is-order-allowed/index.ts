import {type Milliseconds} from '../../ports/clock.js';
import {type ConfigVersion} from '../../ports/config.js';
import {type FleetView} from '../../ports/view.js';
import {type WantedOrder} from '../to-orders/index.js';

export type OrderCircumstances = {
	/** Whether the configuration from which the order was derived is still in force. */
	isCurrent: boolean;
	/** Whether the server has accepted an order of a later edition. */
	isOvertaken: boolean;
	/** Time since the platform, or a peer for it, last confirmed the configuration in force; `Infinity` if never. */
	confirmedAgeMs: Milliseconds;
	/** Age of the server's last report; `Infinity` if there is none. */
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

const toConfirmedAge = ({platformConfirmedAt}: FleetView, now: Milliseconds): Milliseconds => platformConfirmedAt === undefined ? Infinity : now - platformConfirmedAt;

/**
 * Checks whether the view was confirmed recently enough to send any order.
 *
 * @param view - The current view.
 * @param now - Monotonic milliseconds.
 * @param limits - Maximum ages.
 * @returns `true` if the view is recent enough.
 *
 * @example
 * isViewConfirmed({...view, platformConfirmedAt: 1000}, 3000); // true
 */
export const isViewConfirmed = (view: FleetView, now: Milliseconds, limits: OrderLimits = {}): boolean =>
	toConfirmedAge(view, now) <= (limits.maxConfirmedAgeMs ?? defaultMaxConfirmedAgeMs);

/**
 * Collects the circumstances that {@link isOrderAllowed} checks.
 *
 * @param view - The view at the time of sending.
 * @param wanted - The order.
 * @param decision - Time of the decision, and version of the configuration on which it is based.
 * @param now - Monotonic milliseconds.
 * @returns The circumstances.
 *
 * @example
 * isOrderAllowed(toOrderCircumstances(view, wanted, {at: decidedAt, version}, now));
 */
export const toOrderCircumstances = (view: FleetView, {server, order}: WantedOrder, decision: {at: Milliseconds; version: ConfigVersion | undefined}, now: Milliseconds): OrderCircumstances => {
	const {accepted, servers} = view;
	const status = servers.get(server);
	return {
		isCurrent: accepted?.version.edition === order.fence && accepted.version.digest === decision.version?.digest,
		isOvertaken: (status?.load?.fence ?? 0) > order.fence,
		confirmedAgeMs: toConfirmedAge(view, now),
		reportAgeMs: status?.load === undefined ? Infinity : now - status.loadAt,
		sinceDecisionMs: now - decision.at,
	};
};

/**
 * Checks whether an order may be sent now. Call this immediately before sending, with
 * no `await` in between. A host that was paused after its decision resumes with an
 * outdated order: a server would load the weights of an old edition, or lose a copy
 * that has become the last one during the pause. The limit on the age of the decision
 * prevents this, as it includes the pause.
 *
 * The host's view must have been confirmed recently, even for a server that checks
 * fencing tokens. A fencing token stops an order of an old edition only after the
 * server has accepted an order of the new one. Until then a partitioned host could
 * load the old weights on one server of a zone while the other side loads the new
 * weights on another, and the zone would have no pair.
 *
 * @param circumstances - Ages, all by this host's monotonic clock.
 * @param limits - Maximum ages.
 * @returns `true` if the order may be sent.
 *
 * @example
 * isOrderAllowed({isCurrent: true, isOvertaken: false, confirmedAgeMs: 900, reportAgeMs: 200, sinceDecisionMs: 3}); // true
 */
export const isOrderAllowed = (circumstances: OrderCircumstances, limits: OrderLimits = {}): boolean => {
	const {isCurrent, isOvertaken, confirmedAgeMs, reportAgeMs, sinceDecisionMs} = circumstances;
	const isDecisionFresh = sinceDecisionMs <= (limits.maxDecisionAgeMs ?? defaultMaxDecisionAgeMs);
	const isReportFresh = reportAgeMs <= (limits.maxReportAgeMs ?? defaultMaxReportAgeMs);
	const isViewFresh = confirmedAgeMs <= (limits.maxConfirmedAgeMs ?? defaultMaxConfirmedAgeMs);
	return isCurrent && !isOvertaken && isDecisionFresh && isReportFresh && isViewFresh;
};
