/**
 * Estimates how many places of a pool one process may use: its own share, the
 * free places beyond it in the last report, and less after the servers have
 * bounced a request. The estimate need not be exact, as the servers enforce the
 * limit by refusing.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {type PoolCapacity} from './types.js';

export type Places = {
	readonly slots: number;
	readonly share: number;
	/** Number of places in this process's own share; not a whole number. */
	readonly own: number;
	/** Whether the use by other processes is reported, so that places can be borrowed. */
	readonly isUsedKnown: boolean;
	/** Applies a report; batch requests do not borrow the last `keptFree` free places of the pool. */
	report: (capacity: PoolCapacity, state: {running: number; keptFree: number; now: Milliseconds}) => void;
	/** Whether another request may be sent to the servers while `running` requests of this process are there. */
	hasRoom: (running: number) => boolean;
	/** Whether a batch request may start on a place of another process's share. */
	canBorrow: () => boolean;
	noteBorrowed: () => void;
	noteBounce: (running: number) => void;
	/** Allows one more request after a bounce. */
	allowProbe: (running: number) => void;
};

/** Period in which batch requests may borrow their share of the free places once, however many reports show the same free places. */
const borrowEveryMs = 500;

/**
 * Creates the estimate; there are no places until the first report.
 *
 * @param borrowShare - Share of the free places due to this process that batch requests may borrow.
 * @returns See {@link Places}.
 */
export function createPlaces(borrowShare: number): Places {
	let capacity: PoolCapacity = {slots: 0, share: 1};
	let own = 0;
	/** Running requests at the last report, from which the requests started since are counted. */
	let runningAtReport = 0;
	/** Number of batch requests that may start on borrowed places; grows with each report. */
	let borrowCredit = 0;
	/** Number of running requests above which the servers have just bounced one. */
	let bouncedAbove = Infinity;
	let reportedAt = -Infinity;

	function freeInPool(running: number): number {
		const startedSince = Math.max(0, running - runningAtReport);
		return capacity.used === undefined ? 0 : Math.max(0, capacity.slots - capacity.used - startedSince);
	}

	return {
		get slots() {
			return capacity.slots;
		},
		get share() {
			return capacity.share;
		},
		get own() {
			return own;
		},
		get isUsedKnown() {
			return capacity.used !== undefined;
		},
		report(next, {running, keptFree, now}) {
			capacity = next;
			own = next.slots > 0 ? Math.max(1, next.slots * next.share) : 0;
			runningAtReport = running;
			bouncedAbove = Infinity;
			const spare = Math.max(0, freeInPool(running) - keptFree);
			const part = Math.min(1, (now - reportedAt) / borrowEveryMs);
			reportedAt = now;
			borrowCredit = Math.min(spare, borrowCredit + (spare * next.share * borrowShare * part));
		},
		hasRoom: running => capacity.slots > 0 && running < bouncedAbove && (running < own || freeInPool(running) >= 1),
		canBorrow: () => borrowCredit >= 1,
		noteBorrowed() {
			borrowCredit = Math.max(0, borrowCredit - 1);
		},
		noteBounce(running) {
			// Other processes use the places that this one counted on; without this limit, bounced requests would be sent again in a loop.
			bouncedAbove = running;
		},
		allowProbe(running) {
			if (running >= bouncedAbove) {
				bouncedAbove = running + 1;
			}
		},
	};
}
