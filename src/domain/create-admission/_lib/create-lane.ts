/** State of one service class of a pool: its queue, and statistics of its requests. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type WorkspaceId} from '../../../ports/ids.js';
import {createFairQueue, type FairQueue} from '../../create-fair-queue/index.js';
import {createMovingAverage, type MovingAverage} from './create-moving-average.js';
import {createRetryTimes, type RetryTimes} from './create-retry-times.js';
import {type AdmissionRequest, type PoolSettings, type QueuedRequest} from './types.js';

export type Lane = {
	queue: FairQueue<QueuedRequest>;
	running: number;
	/** Mean time for which a request holds its place, milliseconds. */
	holdMs: MovingAverage;
	/** Mean time from admission to the first token, milliseconds. */
	firstTokenMs: MovingAverage;
	retryTimes: RetryTimes;
};

/**
 * Creates the state of a class without requests.
 *
 * @param settings - Weight of the means and window of the queue.
 * @returns An empty lane.
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

/** Converts a request to an item of the queue; its cost is in output tokens. */
export function toItem(request: AdmissionRequest, settings: PoolSettings): QueuedRequest {
	return {
		id: request.id,
		workspace: request.workspace,
		deadline: request.deadline,
		firstTokenDeadline: request.firstTokenDeadline,
		cost: 1 + request.maxTokens + (request.promptTokens / settings.prefillTokensPerCost),
	};
}

/** Whether the queue has room for a workspace. A workspace may take only a part of the free room, so that one alone cannot fill the queue. */
export function hasRoom(lane: Lane, workspace: WorkspaceId, limit: number, settings: PoolSettings): boolean {
	const free = limit - lane.queue.size;
	return free > 0 && lane.queue.countOf(workspace) < free * settings.maxQueuedPerWorkspace;
}
