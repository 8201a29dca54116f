/** Types that the parts of the admission share. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type RequestId, type WorkspaceId} from '../../../ports/ids.js';
import {type ServiceClass} from '../../../ports/outcome.js';
import {type FairQueueItem} from '../../create-fair-queue/index.js';

/**
 * Why a request is refused.
 *
 * - `no-capacity`: no server of the pool is known to serve.
 * - `queue-full`: the rule's queue limit, or the workspace's part of it, is reached.
 * - `too-late`: its predicted finish misses its target, or the target has passed.
 * - `duplicate`: its id is already waiting or admitted.
 */
export type RefusalReason = 'no-capacity' | 'queue-full' | 'too-late' | 'duplicate';

export type Refusal = {
	reason: RefusalReason;
	/** Delay after which the caller may come back with a chance; whole seconds. */
	retryAfterMs: Milliseconds;
};

export type AdmissionRequest = {
	id: RequestId;
	pool: string;
	class: ServiceClass;
	workspace: WorkspaceId;
	/** Monotonic time by which the whole answer is due. */
	deadline: Milliseconds;
	/** Monotonic time by which the first token is due; equal to `deadline` where there are no tokens. */
	firstTokenDeadline: Milliseconds;
	promptTokens: number;
	/** Tokens that the answer may have at most. */
	maxTokens: number;
	/** Requests of the pool and class that may wait here; from the rule. */
	queueLimit: number;
};

export type AdmissionAnswer =
	| {kind: 'admitted'}
	| {kind: 'queued'; position: number}
	| ({kind: 'refused'} & Refusal);

/**
 * How an admitted request ended.
 *
 * - `completed`: its answer is whole; its time counts in predictions.
 * - `failed`: it broke on the way; its time says nothing about the next one's.
 * - `bounced`: the servers had no room after all. Offer it again to let it wait.
 */
export type FinishOutcome = 'completed' | 'failed' | 'bounced';

export type PoolCapacity = {
	/** Requests that the pool's serving servers hold at a time. */
	slots: number;
	/** Part of `slots` that is this process's own, in (0, 1]: one over the live entry hosts that send to them. */
	share: number;
	/** Slots in use by all hosts, as last reported; absent means that nothing is borrowed. */
	used?: number;
};

export type AdmissionTick = {
	admitted: readonly RequestId[];
	/** Requests that no longer wait: each gets its final answer at once. */
	refused: ReadonlyArray<Refusal & {id: RequestId}>;
};

export type PoolSettings = {
	/** Part of the places that batch work gets while it waits, whatever quick work arrives. */
	batchShare: number;
	/** Largest part of the places that is kept free of batch work for quick work to come; 0 keeps none. */
	slackShare: number;
	/** Memory of the rate at which quick work comes. */
	slackMemoryMs: Milliseconds;
	/** Standard deviations of quick work's occupancy that are kept free on top of what its rate occupies. */
	slackDeviations: number;
	/** Part of the slots reported free, times this process's share, that it takes beyond its own. */
	borrowShare: number;
	/** See `createFairQueue`; in units of cost, which is one output token. */
	fairnessWindowCost: number;
	/** Prompt tokens that cost as much as one output token. */
	prefillTokensPerCost: number;
	/** A workspace may have this many times the free part of a queue waiting in it, so that one alone never fills it. */
	maxQueuedPerWorkspace: number;
	/** Weight of one sample in the means from which waits are predicted. */
	meanWeight: number;
	/** Part of the predicted wait that has to fit before the target for a request to go on waiting. */
	refuseMargin: number;
};

export type QueuedRequest = FairQueueItem & {
	firstTokenDeadline: Milliseconds;
};

export type PoolStatus = {
	pool: string;
	/** Requests that this process may have on the pool's servers now. */
	places: number;
	/** Places kept free of batch work now. */
	reserved: number;
	running: {quick: number; batch: number};
	waiting: {quick: number; batch: number};
};
