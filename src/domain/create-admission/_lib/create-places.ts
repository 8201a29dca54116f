/**
 * The places of a pool as one process counts them: its own share, what the last
 * report shows free beyond it, and what the servers just said by bouncing a
 * request. The servers' own refusal is the hard limit; this only guesses well.
 */
import {type Milliseconds} from '../../../ports/clock.js';
import {type PoolCapacity} from './types.js';

export type Places = {
	readonly slots: number;
	readonly share: number;
	/** Places that are this process's own, not a whole number. */
	readonly own: number;
	/** Whether other processes' use is reported, so that places can be borrowed. */
	readonly isUsedKnown: boolean;
	/** Takes a report; `keptFree` places of the whole pool are not borrowed by batch work. */
	report: (capacity: PoolCapacity, state: {running: number; keptFree: number; now: Milliseconds}) => void;
	/** Whether another request may be offered to the servers while `running` are there. */
	hasRoom: (running: number) => boolean;
	/** Whether batch work may start on a place of another process. */
	canBorrow: () => boolean;
	noteBorrowed: () => void;
	noteBounce: (running: number) => void;
	/** Lets one request be tried after a bounce. */
	allowProbe: (running: number) => void;
};

/** Time in which batch work may borrow its share of what is free once, however many reports tell of the same free places. */
const borrowEveryMs = 500;

/**
 * @param borrowShare - part of this process's share of what a report shows free that batch work may take.
 * @returns no places, until a report comes.
 */
export function createPlaces(borrowShare: number): Places {
	let capacity: PoolCapacity = {slots: 0, share: 1};
	let own = 0;
	/** Running requests when the last report came, to correct the report by what was started since. */
	let runningAtReport = 0;
	/** Batch requests that may start on borrowed places; grows with each report. */
	let borrowCredit = 0;
	/** Running requests beyond which the servers have just bounced one. */
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
			// Others took the places that this process counted on: without this it would offer in a loop what bounces.
			bouncedAbove = running;
		},
		allowProbe(running) {
			if (running >= bouncedAbove) {
				bouncedAbove = running + 1;
			}
		},
	};
}
