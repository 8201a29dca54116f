/** Types shared by the parts of admission control. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type RequestId, type WorkspaceId} from '../../../ports/ids.js';
import {type ServiceClass} from '../../../ports/outcome.js';
import {type FairQueueItem} from '../../create-fair-queue/index.js';

/**
 * Why a request is refused.
 *
 * - `no-capacity`: no serving server of the pool is known.
 * - `queue-full`: the rule's queue limit, or the workspace's part of it, is reached.
 * - `too-late`: the predicted finish misses the target, or the target has passed.
 * - `duplicate`: a request with the same id is already queued or admitted.
 */
export type RefusalReason = 'no-capacity' | 'queue-full' | 'too-late' | 'duplicate';

export type Refusal = {
	reason: RefusalReason;
	/** Delay after which a retry is likely to be admitted; whole seconds, in milliseconds. */
	retryAfterMs: Milliseconds;
};

export type AdmissionRequest = {
	id: RequestId;
	pool: string;
	class: ServiceClass;
	workspace: WorkspaceId;
	/** Monotonic time by which the answer must be complete. */
	deadline: Milliseconds;
	/** Monotonic time by which the first token must arrive; equal to `deadline` where there are no tokens. */
	firstTokenDeadline: Milliseconds;
	promptTokens: number;
	/** Maximum number of tokens in the answer. */
	maxTokens: number;
	/** Maximum number of queued requests of the pool and class, from the rule. */
	queueLimit: number;
};

export type AdmissionAnswer =
	| {kind: 'admitted'}
	| {kind: 'queued'; position: number}
	| ({kind: 'refused'} & Refusal);

/**
 * How an admitted request ended.
 *
 * - `completed`: the answer is complete; its duration is used for predictions.
 * - `failed`: the request failed; its duration is not used.
 * - `bounced`: the servers had no room after all. Offer the request again to queue it.
 */
export type FinishOutcome = 'completed' | 'failed' | 'bounced';

export type PoolCapacity = {
	/** Number of requests that the pool's serving servers hold at a time. */
	slots: number;
	/** This process's share of `slots`, in (0, 1]: one over the number of live entry hosts that send to the servers. */
	share: number;
	/** Slots in use by all hosts in the last report; if absent, nothing is borrowed. */
	used?: number;
};

export type AdmissionTick = {
	admitted: readonly RequestId[];
	/** Requests that were removed from the queue; each must get its final answer at once. */
	refused: ReadonlyArray<Refusal & {id: RequestId}>;
};

export type PoolSettings = {
	/** Share of the places that is guaranteed to batch requests while some wait. */
	batchShare: number;
	/** Maximum share of the places that is reserved for future quick requests; 0 reserves none. */
	slackShare: number;
	/** Time constant of the arrival rate of quick requests, milliseconds. */
	slackMemoryMs: Milliseconds;
	/** Number of standard deviations reserved on top of the mean occupancy of quick requests. */
	slackDeviations: number;
	/** Share of the reported free slots due to this process that batch requests may borrow. */
	borrowShare: number;
	/** Window of `createFairQueue`; the unit of cost is one output token. */
	fairnessWindowCost: number;
	/** Number of prompt tokens that cost as much as one output token. */
	prefillTokensPerCost: number;
	/** Maximum number of queued requests of a workspace, as a multiple of the free room of the queue, so that one workspace can't fill the queue. */
	maxQueuedPerWorkspace: number;
	/** Weight of one sample in the moving averages from which waits are predicted. */
	meanWeight: number;
	/** Share of the predicted wait that must fit before the target; otherwise the request is refused. */
	refuseMargin: number;
};

export type QueuedRequest = FairQueueItem & {
	firstTokenDeadline: Milliseconds;
};

export type PoolStatus = {
	pool: string;
	/** Number of requests that this process may have on the pool's servers now. */
	places: number;
	/** Number of places reserved for quick requests now. */
	reserved: number;
	running: {quick: number; batch: number};
	waiting: {quick: number; batch: number};
};
