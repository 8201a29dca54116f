/** The places of one pool, the two queues before them, and what is predicted for those who wait. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type RequestId, type WorkspaceId} from '../../../ports/ids.js';
import {type ServiceClass} from '../../../ports/outcome.js';
import {msPerSecond} from '../../../ports/units.js';
import {createFairQueue, type FairQueue} from '../../create-fair-queue/index.js';
import {toRetryAfter} from '../../to-retry-after/index.js';
import {createMean, type Mean} from './create-mean.js';
import {createPeak} from './create-peak.js';
import {
	type AdmissionAnswer, type AdmissionRequest, type AdmissionTick, type FinishOutcome, type PoolCapacity, type PoolSettings, type PoolStatus, type QueuedRequest, type Refusal,
} from './types.js';

export type Pool = {
	hasCapacity: () => boolean;
	offer: (request: AdmissionRequest, now: Milliseconds) => AdmissionAnswer;
	noteFirstToken: (id: RequestId, now: Milliseconds) => void;
	finish: (id: RequestId, now: Milliseconds, outcome: FinishOutcome) => readonly RequestId[];
	cancel: (id: RequestId, now: Milliseconds) => readonly RequestId[];
	tick: (now: Milliseconds) => AdmissionTick;
	setCapacity: (capacity: PoolCapacity, now: Milliseconds) => readonly RequestId[];
	status: (now: Milliseconds) => PoolStatus;
};

/** One class of a pool. */
type Lane = {
	class: ServiceClass;
	queue: FairQueue<QueuedRequest>;
	running: number;
	/** Time for which a request holds its place. */
	holdMs: Mean;
	/** Time from admission to the first token. */
	firstTokenMs: Mean;
};

type Running = {
	lane: Lane;
	admittedAt: Milliseconds;
	hasFirstToken: boolean;
};

/**
 * Creates a pool without places.
 *
 * @param name - the pool's name, for its status.
 * @param settings - shares and bounds.
 * @returns the pool.
 */
export function createPool(name: string, settings: PoolSettings): Pool {
	const quick = createLane('quick', settings);
	const batch = createLane('batch', settings);
	const running = new Map<RequestId, Running>();
	const quickPeak = createPeak(settings.slackWindowMs);
	let places = 0;
	/** Admissions of quick work since the last one of batch work. */
	let quickInARow = 0;

	const toLane = (serviceClass: ServiceClass): Lane => serviceClass === 'quick' ? quick : batch;

	/** Places that batch work leaves to quick work: what it used at its recent peak, up to a bound. */
	function reservedAt(now: Milliseconds): number {
		return Math.min(quickPeak.at(now), Math.floor(places * settings.slackShare));
	}

	function isBatchOwed(): boolean {
		const guaranteed = Math.floor(places * settings.batchShare);
		if (batch.queue.size === 0 || settings.batchShare === 0) {
			return false;
		}

		// Too few places for a share of them: batch gets its share of the turns instead, or it would starve.
		return guaranteed === 0
			? batch.running === 0 && quickInARow >= 1 / settings.batchShare
			: batch.running < guaranteed && quick.running >= places - guaranteed;
	}

	function isAdmissible(lane: Lane, now: Milliseconds): boolean {
		if (running.size >= places) {
			return false;
		}

		if (lane === quick) {
			return !isBatchOwed();
		}

		const forQuick = Math.max(quick.running, reservedAt(now));
		return batch.running < Math.max(places - forQuick, Math.floor(places * settings.batchShare)) || isBatchOwed();
	}

	function start(lane: Lane, id: RequestId, now: Milliseconds): void {
		running.set(id, {lane, admittedAt: now, hasFirstToken: false});
		lane.running += 1;
		quickInARow = lane === quick ? quickInARow + 1 : 0;
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

	/** Requests of a lane that leave it in a millisecond, 0 while nothing is known. */
	function drainPerMs(lane: Lane, now: Milliseconds): number {
		if (lane === batch) {
			const usable = Math.max(places - Math.max(quick.running, reservedAt(now)), places * settings.batchShare);
			return toRate(usable, batch.holdMs.value);
		}

		const owed = batch.queue.size > 0 ? Math.min(batch.running, places * settings.batchShare) : 0;
		return toRate(quick.running, quick.holdMs.value) + toRate(batch.running - owed, batch.holdMs.value);
	}

	function isLate(lane: Lane, item: QueuedRequest, ahead: number, now: Milliseconds): boolean {
		const drain = drainPerMs(lane, now);
		const waitMs = drain > 0 ? (ahead + 1) / drain * settings.refuseMargin : 0;
		return now + waitMs + (lane.firstTokenMs.value ?? 0) > item.firstTokenDeadline
			|| now + waitMs + (lane.holdMs.value ?? 0) > item.deadline;
	}

	function toRefusal(lane: Lane, reason: Refusal['reason'], now: Milliseconds): Refusal {
		const drainPerSecond = drainPerMs(lane, now) * msPerSecond;
		return {reason, retryAfterMs: toRetryAfter({ahead: lane.queue.size + 1, drainPerSecond})};
	}

	function offer(request: AdmissionRequest, now: Milliseconds): AdmissionAnswer {
		const lane = toLane(request.class);
		if (lane === quick) {
			quickPeak.add(quick.running + quick.queue.size + 1, now);
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

	/** Takes a request out, waiting or running. */
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
			// Others took the places that this process counted on: without this it would go on offering what bounces until the next report.
			places = Math.max(1, Math.min(places, running.size));
		}

		return admitNext(now);
	}

	function cancel(id: RequestId, now: Milliseconds): RequestId[] {
		release(id);
		return admitNext(now);
	}

	function refuseLate(lane: Lane, now: Milliseconds): AdmissionTick['refused'] {
		const refused: Array<Refusal & {id: RequestId}> = [];
		let ahead = 0;
		for (const item of lane.queue.list()) {
			if (isLate(lane, item, ahead, now)) {
				lane.queue.remove(item.id);
				refused.push({id: item.id, ...toRefusal(lane, 'too-late', now)});
			} else {
				ahead += 1;
			}
		}

		return refused;
	}

	function setCapacity(capacity: PoolCapacity, now: Milliseconds): RequestId[] {
		const own = capacity.slots > 0 ? Math.max(1, Math.ceil(capacity.slots * capacity.share)) : 0;
		const free = capacity.used === undefined ? 0 : Math.max(0, capacity.slots - capacity.used);
		const borrowed = running.size + Math.floor(free * capacity.share * settings.borrowShare);
		places = capacity.used === undefined ? own : Math.min(capacity.slots, Math.max(own, borrowed));
		return admitNext(now);
	}

	return {
		hasCapacity: () => places > 0,
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
			const admitted = admitNext(now);
			return {admitted, refused: [...refuseLate(quick, now), ...refuseLate(batch, now)]};
		},
		setCapacity,
		status: now => ({
			pool: name,
			places,
			reserved: reservedAt(now),
			running: {quick: quick.running, batch: batch.running},
			waiting: {quick: quick.queue.size, batch: batch.queue.size},
		}),
	};
}

function createLane(serviceClass: ServiceClass, settings: PoolSettings): Lane {
	return {
		class: serviceClass,
		queue: createFairQueue<QueuedRequest>({windowCost: settings.fairnessWindowCost}),
		running: 0,
		holdMs: createMean(settings.meanWeight),
		firstTokenMs: createMean(settings.meanWeight),
	};
}

function toItem(request: AdmissionRequest, settings: PoolSettings): QueuedRequest {
	return {
		id: request.id,
		workspace: request.workspace,
		deadline: request.deadline,
		firstTokenDeadline: request.firstTokenDeadline,
		cost: 1 + request.maxTokens + (request.promptTokens / settings.prefillTokensPerCost),
	};
}

function toRate(places: number, holdMs: Milliseconds | undefined): number {
	return holdMs === undefined ? 0 : places / Math.max(1, holdMs);
}

/** One workspace may fill only a part of what is left, so that a queue filled by one still takes others. */
function hasRoom(lane: Lane, workspace: WorkspaceId, limit: number, settings: PoolSettings): boolean {
	const free = limit - lane.queue.size;
	return free > 0 && lane.queue.countOf(workspace) < free * settings.maxQueuedPerWorkspace;
}
