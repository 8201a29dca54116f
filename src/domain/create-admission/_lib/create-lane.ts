/** One class of a pool: its queue, and what is known of the requests that went through it. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type WorkspaceId} from '../../../ports/ids.js';
import {createFairQueue, type FairQueue} from '../../create-fair-queue/index.js';
import {createMovingAverage, type MovingAverage} from './create-moving-average.js';
import {createRetryTimes, type RetryTimes} from './create-retry-times.js';
import {type AdmissionRequest, type PoolSettings, type QueuedRequest} from './types.js';

export type Lane = {
	queue: FairQueue<QueuedRequest>;
	running: number;
	/** Time for which a request holds its place. */
	holdMs: MovingAverage;
	/** Time from admission to the first token. */
	firstTokenMs: MovingAverage;
	retryTimes: RetryTimes;
};

/**
 * @param settings - the weight of the means and the window of the queue.
 * @returns an empty lane.
 */
export function createLane(settings: PoolSettings): Lane {
	return {
		queue: createFairQueue<QueuedRequest>({windowCost: settings.fairnessWindowCost}),
		running: 0,
		holdMs: createMovingAverage(settings.meanWeight),
		firstTokenMs: createMovingAverage(settings.meanWeight),
		retryTimes: createRetryTimes(),
	};
}

/** What of a request the queue needs; its cost is in output tokens. */
export function toItem(request: AdmissionRequest, settings: PoolSettings): QueuedRequest {
	return {
		id: request.id,
		workspace: request.workspace,
		deadline: request.deadline,
		firstTokenDeadline: request.firstTokenDeadline,
		cost: 1 + request.maxTokens + (request.promptTokens / settings.prefillTokensPerCost),
	};
}

/** One workspace may fill only a part of what is left, so that a queue filled by one still takes others. */
export function hasRoom(lane: Lane, workspace: WorkspaceId, limit: number, settings: PoolSettings): boolean {
	const free = limit - lane.queue.size;
	return free > 0 && lane.queue.countOf(workspace) < free * settings.maxQueuedPerWorkspace;
}
