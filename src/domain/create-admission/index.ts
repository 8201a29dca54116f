/**
 * Decides, for one entry process, which requests start now, which wait and
 * which are refused at once.
 *
 * Each pool has places: requests that this process may have on the pool's
 * servers at a time. Quick work goes first; batch has a guaranteed share of the
 * places while it waits, and never takes the places that quick work is expected
 * to need soon. Inside a class, workspaces take turns by the work they cause,
 * and deadlines order those that are level. A request whose predicted finish
 * misses its target is refused as soon as that is known.
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
	/** Notes the first token of an admitted request; sharpens the prediction. */
	noteFirstToken: (id: RequestId, now: Milliseconds) => void;
	/** Frees the place of an admitted request and returns the requests that start now. */
	finish: (id: RequestId, now: Milliseconds, end: {outcome: FinishOutcome}) => readonly RequestId[];
	/** Forgets a request whose caller is gone, waiting or admitted, and returns the requests that start now. */
	cancel: (id: RequestId, now: Milliseconds) => readonly RequestId[];
	/** Looks again at all that wait; call it several times a second. */
	tick: (now: Milliseconds) => AdmissionTick;
	/** Takes a pool's capacity from the view and returns the requests that start now. */
	setCapacity: (pool: string, capacity: PoolCapacity, now: Milliseconds) => readonly RequestId[];
	/** Forgets the pools that are not named, once nothing of them runs; what waits for them is refused with the next tick. */
	keepPools: (names: ReadonlySet<string>, now: Milliseconds) => void;
	/** Mean time for which requests of a pool keep their places; `undefined` while none has ended. */
	meanHoldMs: (pool: string) => Milliseconds | undefined;
	/** Numbers for metrics and the status document. */
	status: (now: Milliseconds) => PoolStatus[];
};

/** A pool without a known server may get one with the next report or two. */
const noCapacityRetryMs = 5000;

/** The id's first request is still here; soon it may not be. */
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
 * Creates the admission of one entry process. It knows no pool until
 * `setCapacity` names one, and refuses with `no-capacity` until then.
 *
 * @param options - shares and bounds; each has a default that `docs/design/005-admission.md` explains.
 * @returns functions that decide; `now` is monotonic milliseconds.
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
