/** Admission control of one pool: its places, the queues of both classes, and the predicted waits. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type RequestId} from '../../../ports/ids.js';
import {type ServiceClass} from '../../../ports/outcome.js';
import {
	createLane, hasRoom, type Lane, toItem,
} from './create-lane.js';
import {createPlaces} from './create-places.js';
import {createRate} from './create-rate.js';
import {
	type AdmissionAnswer, type AdmissionRequest, type AdmissionTick, type FinishOutcome, type PoolCapacity, type PoolSettings, type PoolStatus, type QueuedRequest, type Refusal,
} from './types.js';

export type Pool = {
	hasCapacity: () => boolean;
	/** Whether nothing runs or waits. */
	isIdle: () => boolean;
	offer: (request: AdmissionRequest, now: Milliseconds) => AdmissionAnswer;
	noteFirstToken: (id: RequestId, now: Milliseconds) => void;
	finish: (id: RequestId, now: Milliseconds, outcome: FinishOutcome) => readonly RequestId[];
	cancel: (id: RequestId, now: Milliseconds) => readonly RequestId[];
	tick: (now: Milliseconds) => AdmissionTick;
	setCapacity: (capacity: PoolCapacity, now: Milliseconds) => readonly RequestId[];
	meanHoldMs: () => Milliseconds | undefined;
	status: (now: Milliseconds) => PoolStatus;
};

/** Interval at which all queued batch requests are checked for lateness, milliseconds. */
const batchReviewMs = 250;

/** Running requests of this process that are needed to estimate the pool's drain rate; with fewer the error exceeds the estimate. */
const minDrainSamples = 4;

type Running = {
	lane: Lane;
	admittedAt: Milliseconds;
	hasFirstToken: boolean;
};

/**
 * Creates a pool without places.
 *
 * @param name - Name of the pool, for its status.
 * @param settings - Shares and bounds.
 * @returns The pool.
 */
export function createPool(name: string, settings: PoolSettings): Pool {
	const quick = createLane(settings);
	const batch = createLane(settings);
	const running = new Map<RequestId, Running>();
	const quickRate = createRate(settings.slackMemoryMs);
	const places = createPlaces(settings.borrowShare);
	let batchReviewedAt = -Infinity;
	/** Number of quick requests admitted since the last batch request. */
	let quickInARow = 0;

	const toLane = (serviceClass: ServiceClass): Lane => serviceClass === 'quick' ? quick : batch;

	const guaranteed = (): number => Math.floor(places.own * settings.batchShare);

	/** Mean number of places that quick requests occupy at their recent rate (Little's law). */
	const quickOccupancy = (now: Milliseconds): number => quickRate.at(now) * (quick.holdMs.value ?? 0);

	/** Number of places reserved for quick requests: their mean occupancy, plus this process's share of the pool's random variation. */
	function reservedAt(now: Milliseconds): number {
		const occupied = quickOccupancy(now);
		const variation = settings.slackDeviations * Math.sqrt(occupied * places.share);
		return Math.min(occupied + variation, places.own * settings.slackShare);
	}

	function isBatchDue(): boolean {
		if (batch.queue.size === 0 || settings.batchShare === 0) {
			return false;
		}

		// With too few places for a share of them, batch gets its share of the admissions instead; otherwise it would starve.
		return guaranteed() === 0
			? batch.running === 0 && quickInARow >= 1 / settings.batchShare
			: batch.running < guaranteed() && quick.running >= places.own - guaranteed();
	}

	/** Batch requests use this process's own places without the reserve, and borrow only within the credit. */
	function isBatchAdmissible(now: Milliseconds): boolean {
		const forQuick = Math.max(quick.running, reservedAt(now));
		// A share is not a whole number of places; rounding to the nearest keeps the sum over all processes right.
		return batch.running < guaranteed()
			|| isBatchDue()
			|| batch.running + forQuick + (1 / 2) <= places.own
			|| places.canBorrow();
	}

	function isAdmissible(lane: Lane, now: Milliseconds): boolean {
		// Quick requests may use any place of the pool: a wrong guess costs one bounced reservation, an unused place costs a missed target.
		return places.hasRoom(running.size) && (lane === quick ? !isBatchDue() : isBatchAdmissible(now));
	}

	function start(lane: Lane, id: RequestId, now: Milliseconds): void {
		running.set(id, {lane, admittedAt: now, hasFirstToken: false});
		lane.running += 1;
		quickInARow = lane === quick ? quickInARow + 1 : 0;
		if (lane === batch && running.size > places.own - reservedAt(now)) {
			places.noteBorrowed();
		}
	}

	function admitNext(now: Milliseconds): RequestId[] {
		const admitted: RequestId[] = [];
		for (;;) {
			const lane = [quick, batch].find(each => each.queue.size > 0 && isAdmissible(each, now));
			const item = lane?.queue.shift();
			if (lane === undefined || item === undefined) {
				return admitted;
			}

			start(lane, item.id, now);
			admitted.push(item.id);
		}
	}

	/** Drain rate of a lane, requests per millisecond; 0 while it is unknown. */
	function drainPerMs(lane: Lane, now: Milliseconds): number {
		if (lane === batch) {
			const usable = Math.max(places.own - Math.max(quick.running, reservedAt(now)), places.own * settings.batchShare, batch.running);
			return toRate(usable, batch.holdMs.value);
		}

		const guaranteedToBatch = batch.queue.size > 0 ? Math.min(batch.running, places.own * settings.batchShare) : 0;
		// Places freed by quick requests of other processes count too, in proportion to this process's share.
		const freeing = places.isUsedKnown ? Math.max(quick.running, Math.min(quickOccupancy(now), places.own)) : quick.running;
		return toRate(freeing, quick.holdMs.value) + toRate(batch.running - guaranteedToBatch, batch.holdMs.value);
	}

	/** Whether the use by other processes is not reported and too few requests run here to estimate the drain rate. */
	function isDrainRateUnknown(): boolean {
		return !places.isUsedKnown && running.size < Math.min(minDrainSamples, places.own);
	}

	/**
	 * Predicted wait for a place, milliseconds; 0 where it can't be predicted. In a
	 * large fleet a host has only one or two running requests; a prediction from these
	 * refused requests on arrival although hundreds of requests of other hosts ended
	 * in time.
	 */
	function toWaitMs(lane: Lane, ahead: number, now: Milliseconds): Milliseconds {
		if (isDrainRateUnknown()) {
			return 0;
		}

		const drain = drainPerMs(lane, now);
		// Quick requests take the next free place of the whole pool, for which other processes compete in proportion to their shares.
		const turns = lane === quick && places.isUsedKnown ? ahead + places.share : ahead + 1;
		return drain > 0 ? turns / drain * settings.refuseMargin : 0;
	}

	function isLate(lane: Lane, item: QueuedRequest, ahead: number, now: Milliseconds): boolean {
		const waitMs = toWaitMs(lane, ahead, now);
		return now + waitMs + (lane.firstTokenMs.value ?? 0) > item.firstTokenDeadline
			|| now + waitMs + (lane.holdMs.value ?? 0) > item.deadline;
	}

	function toRefusal(lane: Lane, reason: Refusal['reason'], now: Milliseconds): Refusal {
		return {reason, retryAfterMs: lane.retryTimes.next(lane.queue.size, drainPerMs(lane, now), now)};
	}

	function offer(request: AdmissionRequest, now: Milliseconds): AdmissionAnswer {
		const lane = toLane(request.class);
		if (lane === quick) {
			quickRate.add(now);
		}

		const item = toItem(request, settings);
		if (now >= item.firstTokenDeadline || now >= item.deadline) {
			return {kind: 'refused', ...toRefusal(lane, 'too-late', now)};
		}

		if (lane.queue.size === 0 && isAdmissible(lane, now)) {
			start(lane, item.id, now);
			return {kind: 'admitted'};
		}

		if (!hasRoom(lane, item.workspace, request.queueLimit, settings)) {
			return {kind: 'refused', ...toRefusal(lane, 'queue-full', now)};
		}

		const position = lane.queue.countBefore(item);
		if (isLate(lane, item, position, now)) {
			return {kind: 'refused', ...toRefusal(lane, 'too-late', now)};
		}

		lane.queue.push(item);
		return {kind: 'queued', position};
	}

	/** Removes a queued or running request. */
	function release(id: RequestId): Running | undefined {
		const entry = running.get(id);
		if (entry === undefined) {
			quick.queue.remove(id);
			batch.queue.remove(id);
			return undefined;
		}

		running.delete(id);
		entry.lane.running -= 1;
		return entry;
	}

	function finish(id: RequestId, now: Milliseconds, outcome: FinishOutcome): RequestId[] {
		const entry = release(id);
		if (outcome === 'completed') {
			entry?.lane.holdMs.add(now - entry.admittedAt);
		}

		if (outcome === 'bounced') {
			places.noteBounce(running.size);
			if (entry?.lane === quick) {
				// The request is offered again and would count twice in the rate of quick requests.
				quickRate.remove(now);
			}
		}

		return admitNext(now);
	}

	function cancel(id: RequestId, now: Milliseconds): RequestId[] {
		release(id);
		return admitNext(now);
	}

	function refuseLate(lane: Lane, now: Milliseconds): AdmissionTick['refused'] {
		const refused: Array<Refusal & {id: RequestId}> = [];
		// Sorting a long batch queue is expensive and batch deadlines are far away, so the batch queue is checked less often.
		if (lane === batch && now - batchReviewedAt < batchReviewMs && places.slots > 0) {
			return refused;
		}

		batchReviewedAt = lane === batch ? now : batchReviewedAt;
		let ahead = 0;
		for (const item of lane.queue.list()) {
			const reason = places.slots === 0 ? 'no-capacity' : (isLate(lane, item, ahead, now) ? 'too-late' : undefined);
			if (reason === undefined) {
				ahead += 1;
			} else {
				lane.queue.remove(item.id);
				refused.push({id: item.id, ...toRefusal(lane, reason, now)});
			}
		}

		return refused;
	}

	function setCapacity(capacity: PoolCapacity, now: Milliseconds): RequestId[] {
		const keptFree = settings.slackDeviations * Math.sqrt(quickOccupancy(now) / capacity.share);
		places.report(capacity, {running: running.size, keptFree, now});
		return admitNext(now);
	}

	return {
		hasCapacity: () => places.slots > 0,
		isIdle: () => running.size + quick.queue.size + batch.queue.size === 0,
		offer,
		noteFirstToken(id, now) {
			const entry = running.get(id);
			if (entry !== undefined && !entry.hasFirstToken) {
				entry.hasFirstToken = true;
				entry.lane.firstTokenMs.add(now - entry.admittedAt);
			}
		},
		finish,
		cancel,
		tick(now) {
			// Another process may have freed a place.
			places.allowProbe(running.size);
			const admitted = admitNext(now);
			return {admitted, refused: [...refuseLate(quick, now), ...refuseLate(batch, now)]};
		},
		setCapacity,
		meanHoldMs: () => quick.holdMs.value ?? batch.holdMs.value,
		status: now => ({
			pool: name,
			places: places.own,
			reserved: reservedAt(now),
			running: {quick: quick.running, batch: batch.running},
			waiting: {quick: quick.queue.size, batch: batch.queue.size},
		}),
	};
}

function toRate(places: number, holdMs: Milliseconds | undefined): number {
	return holdMs === undefined ? 0 : places / Math.max(1, holdMs);
}
