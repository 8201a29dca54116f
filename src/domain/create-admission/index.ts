/**
 * Admission control of one entry process: decides which requests start now, which
 * are queued and which are refused at once.
 *
 * Each pool has places, the number of requests that this process may have on the
 * pool's servers at a time. Quick requests go first. Batch requests have a
 * guaranteed share of the places while they wait, and otherwise never take places
 * that quick requests are expected to need soon. Within a class, workspaces are
 * served fairly by the work that they cause; among workspaces that have had equal
 * shares, the earliest deadline goes first. A request is refused as soon as its
 * predicted finish misses its target.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type RequestId} from '../../ports/ids.js';
import {createPool, type Pool} from './_lib/create-pool.js';
import {
	type AdmissionAnswer, type AdmissionRequest, type AdmissionTick, type FinishOutcome, type PoolCapacity, type PoolSettings, type PoolStatus,
} from './_lib/types.js';

export type {
	AdmissionAnswer, AdmissionRequest, AdmissionTick, FinishOutcome, PoolCapacity, PoolStatus, Refusal, RefusalReason,
} from './_lib/types.js';

export type AdmissionOptions = Partial<PoolSettings>;

export type Admission = {
	/** Decides about a new request. */
	offer: (request: AdmissionRequest, now: Milliseconds) => AdmissionAnswer;
	/** Records the first token of an admitted request, which improves the prediction. */
	noteFirstToken: (id: RequestId, now: Milliseconds) => void;
	/** Frees the place of an admitted request and returns the requests that start now. */
	finish: (id: RequestId, now: Milliseconds, end: {outcome: FinishOutcome}) => readonly RequestId[];
	/** Removes a queued or admitted request whose caller is gone, and returns the requests that start now. */
	cancel: (id: RequestId, now: Milliseconds) => readonly RequestId[];
	/** Checks all queued requests again; call it several times a second. */
	tick: (now: Milliseconds) => AdmissionTick;
	/** Sets a pool's capacity from the view and returns the requests that start now. */
	setCapacity: (pool: string, capacity: PoolCapacity, now: Milliseconds) => readonly RequestId[];
	/** Removes the pools that are not named, once none of their requests runs; their queued requests are refused with the next tick. */
	keepPools: (names: ReadonlySet<string>, now: Milliseconds) => void;
	/** Mean time for which requests of a pool hold their places; `undefined` until one has ended. */
	meanHoldMs: (pool: string) => Milliseconds | undefined;
	/** Numbers for metrics and the status document. */
	status: (now: Milliseconds) => PoolStatus[];
};

/** Retry delay for a pool without a known server; the next report or two may bring one. */
const noCapacityRetryMs = 5000;

/** Retry delay for a duplicate id, whose first request may end soon. */
const duplicateRetryMs = 1000;

const defaults: PoolSettings = {
	batchShare: 0.2,
	slackShare: 0.8,
	slackMemoryMs: 5000,
	slackDeviations: 1,
	borrowShare: 1,
	fairnessWindowCost: 512,
	prefillTokensPerCost: 20,
	maxQueuedPerWorkspace: 1,
	meanWeight: 0.05,
	refuseMargin: 1,
};

/**
 * Creates the admission control of one entry process. A pool is unknown until
 * `setCapacity` is called for it; until then its requests are refused with
 * `no-capacity`.
 *
 * @param options - Shares and bounds; `docs/design/005-admission.md` explains the defaults.
 * @returns See {@link Admission}; `now` is monotonic milliseconds.
 * @example
 * const admission = createAdmission();
 * admission.setCapacity('desk', {slots: 40, share: 0.5}, 0);
 * admission.offer({
 * 	id: 'r1', pool: 'desk', class: 'quick', workspace: 'w', promptTokens: 40, maxTokens: 20,
 * 	firstTokenDeadline: 1300, deadline: 5000, queueLimit: 100,
 * }, 0); // {kind: 'admitted'}
 */
export function createAdmission(options: AdmissionOptions = {}): Admission {
	const settings: PoolSettings = {...defaults, ...options};
	const pools = new Map<string, Pool>();
	const poolOf = new Map<RequestId, Pool>();

	function offer(request: AdmissionRequest, now: Milliseconds): AdmissionAnswer {
		const pool = pools.get(request.pool);
		if (!pool?.hasCapacity()) {
			return {kind: 'refused', reason: 'no-capacity', retryAfterMs: noCapacityRetryMs};
		}

		if (poolOf.has(request.id)) {
			return {kind: 'refused', reason: 'duplicate', retryAfterMs: duplicateRetryMs};
		}

		const answer = pool.offer(request, now);
		if (answer.kind !== 'refused') {
			poolOf.set(request.id, pool);
		}

		return answer;
	}

	function leave(id: RequestId, step: (pool: Pool) => readonly RequestId[]): readonly RequestId[] {
		const pool = poolOf.get(id);
		poolOf.delete(id);
		return pool === undefined ? [] : step(pool);
	}

	function tick(now: Milliseconds): AdmissionTick {
		const results = [...pools.values()].map(pool => pool.tick(now));
		const refused = results.flatMap(result => result.refused);
		for (const {id} of refused) {
			poolOf.delete(id);
		}

		return {admitted: results.flatMap(result => result.admitted), refused};
	}

	function keepPools(names: ReadonlySet<string>, now: Milliseconds): void {
		for (const [name, pool] of pools) {
			if (names.has(name)) {
				continue;
			}

			pool.setCapacity({slots: 0, share: 1}, now);
			if (pool.isIdle()) {
				pools.delete(name);
			}
		}
	}

	function setCapacity(name: string, capacity: PoolCapacity, now: Milliseconds): readonly RequestId[] {
		let pool = pools.get(name);
		if (pool === undefined) {
			pool = createPool(name, settings);
			pools.set(name, pool);
		}

		return pool.setCapacity(capacity, now);
	}

	return {
		offer,
		noteFirstToken(id, now) {
			poolOf.get(id)?.noteFirstToken(id, now);
		},
		finish: (id, now, end) => leave(id, pool => pool.finish(id, now, end.outcome)),
		cancel: (id, now) => leave(id, pool => pool.cancel(id, now)),
		tick,
		setCapacity,
		keepPools,
		meanHoldMs: name => pools.get(name)?.meanHoldMs(),
		status: now => [...pools.values()].map(pool => pool.status(now)),
	};
}
