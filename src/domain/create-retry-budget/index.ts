/**
 * Decides whether a failed attempt is retried.
 *
 * Retries are paid from a token bucket that successful requests fill, so that a
 * failing pool gets at most a fixed share of its usual load on top, however many
 * requests fail at once.
 */
import {type Milliseconds, type Random} from '../../ports/clock.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';
import {type Outcome} from '../../ports/outcome.js';
import {msPerSecond} from '../../ports/units.js';
import {toBackoff, type BackoffOptions} from '../to-backoff/index.js';

export type RetryBudgetOptions = BackoffOptions & {
	/** Retries earned by one successful request. */
	perSuccess?: number;
	/** Retries earned per second without any success, so that a pool with little traffic can retry at all. */
	perSecond?: number;
	/** Maximum number of retries in the bucket. */
	capacity?: number;
	/** Replaces `capacity` where it changes, for example with the number of hosts that share the budget. */
	toCapacity?: () => number;
	/** Maximum number of attempts of one request, including the first. */
	maxAttempts?: number;
	/** Cost of a retry after the server answered that it had not started the request; such a retry repeats no work. */
	notRunCost?: number;
	/** Cost of a retry after a call of which no byte was sent, so that no server saw it. */
	notOfferedCost?: number;
	/** Whether only retries earned since the start may be spent, because a previous process may already have spent the initial balance; `false` by default. */
	isEarnedOnly?: (now: Milliseconds) => boolean;
	/** Called with retries that were earned while the bucket was full. */
	onSurplus?: (retries: number, now: Milliseconds) => void;
};

export type FailedAttempt = {
	/** Whether the rule allows the request to run more than once. */
	repeatable: boolean;
	/** Bytes of the request that were sent to the server in this attempt. */
	bytesOffered: number;
	/** Known outcome of the attempt: `not-run` only if no byte was sent or the server said so. */
	outcome: Outcome;
	/** Maximum number of attempts of this request, if its rule sets one. */
	maxAttempts?: number;
	/** Number of the attempt that failed, from 1. */
	attempt: number;
	/** Monotonic time by which the answer must be complete. */
	deadline: Milliseconds;
	/** Expected duration of another attempt, milliseconds. */
	expectedMs: Milliseconds;
	/** Servers tried so far with their zones; the last one is that of this attempt. */
	tried: ReadonlyArray<{server: ServerId; zone: ZoneId}>;
};

/** Why there is no further attempt. */
export type NoRetryReason = 'ran' | 'not-repeatable' | 'attempts' | 'deadline' | 'budget';

export type RetryAnswer =
	| {
		kind: 'retry';
		delayMs: Milliseconds;
		/** Cost charged to the budget. */
		cost: number;
		/** Servers that the next attempt must not use. */
		avoidServers: readonly ServerId[];
		/** Zones in which two attempts failed; the next attempt should use another zone if one can serve. */
		avoidZones: readonly ZoneId[];
	}
	| {kind: 'give-up'; reason: NoRetryReason};

export type RetryBudget = {
	/** Records a successful request, which earns a part of a retry. */
	noteSuccess: (now: Milliseconds) => void;
	/** Why {@link RetryBudget.takeRetry} would not retry, or `undefined` if it would; spends nothing. */
	findNoRetryReason: (failed: FailedAttempt, now: Milliseconds) => NoRetryReason | undefined;
	/** Decides, and spends from the budget when the answer is `retry`. With `isPaid`, others have granted the retry, so it costs nothing here. */
	takeRetry: (failed: FailedAttempt, now: Milliseconds, random: Random, options?: {isPaid?: boolean}) => RetryAnswer;
	/** Cost of another attempt. */
	toCost: (failed: FailedAttempt) => number;
	/** Spends one retry for an additional call of a granted attempt, if the bucket has enough; returns whether it was spent. */
	takeExtraCall: (now: Milliseconds) => boolean;
	/** Number of retries in the bucket. */
	available: (now: Milliseconds) => number;
	/** Number of retries in a full bucket. */
	capacity: () => number;
};

/**
 * Creates the retry budget of one pool.
 *
 * @param options - Ratios and bounds; by default 0.1 per success, 0.5 per second, a capacity of 10, 3 attempts, and a cost of 0.25 for work that did not start.
 * @returns See {@link RetryBudget}; `now` is monotonic milliseconds.
 * @example
 * const budget = createRetryBudget();
 * budget.takeRetry({
 * 	repeatable: false, bytesOffered: 900, outcome: 'may-have-run', attempt: 1,
 * 	deadline: 5000, expectedMs: 800, tried: [{server: 's1', zone: 'z1'}],
 * }, 100, Math.random); // {kind: 'give-up', reason: 'not-repeatable'}
 */
export function createRetryBudget(options: RetryBudgetOptions = {}): RetryBudget {
	const {perSuccess = 0.1, perSecond = 0.5, capacity = 10, toCapacity = () => capacity, maxAttempts = 3, notRunCost = 0.25, isEarnedOnly = () => false, onSurplus = () => undefined} = options;
	const notOfferedCost = options.notOfferedCost ?? notRunCost;
	/** Retries spent and not yet earned back. The bucket is full at a debt of 0, so that a changed capacity takes effect at once. */
	let debt = 0;
	/** Retries earned since the start by successes and by time, less those spent. */
	let earned = 0;
	let filledAt: Milliseconds | undefined;

	function earn(retries: number, now: Milliseconds): void {
		const surplus = retries - debt;
		debt = Math.max(0, -surplus);
		earned = Math.min(toCapacity(), earned + retries);
		// A process that may spend only what it earned keeps all of that.
		if (surplus > 0 && !isEarnedOnly(now)) {
			onSurplus(surplus, now);
		}
	}

	function spend(cost: number): void {
		debt += cost;
		earned = Math.max(0, earned - cost);
	}

	function fill(now: Milliseconds): void {
		const elapsedMs = Math.max(0, now - (filledAt ?? now));
		earn(elapsedMs * perSecond / msPerSecond, now);
		filledAt = now;
	}

	function toAvailable(now: Milliseconds): number {
		fill(now);
		const saved = toCapacity() - debt;
		return isEarnedOnly(now) ? Math.min(saved, earned) : saved;
	}

	const toCost = (failed: FailedAttempt): number => {
		if (failed.outcome !== 'not-run') {
			return 1;
		}

		return failed.bytesOffered === 0 ? notOfferedCost : notRunCost;
	};

	function findReason(failed: FailedAttempt, now: Milliseconds): NoRetryReason | undefined {
		const refusal = findPermanentReason(failed);
		if (refusal !== undefined) {
			return refusal;
		}

		if (failed.attempt >= (failed.maxAttempts ?? maxAttempts)) {
			return 'attempts';
		}

		if (now + failed.expectedMs > failed.deadline) {
			return 'deadline';
		}

		return toAvailable(now) < toCost(failed) ? 'budget' : undefined;
	}

	return {
		noteSuccess(now) {
			fill(now);
			earn(perSuccess, now);
		},
		findNoRetryReason: findReason,
		takeRetry(failed, now, random, {isPaid = false} = {}) {
			const reason = findReason(failed, now);
			if (reason !== undefined && !(isPaid && reason === 'budget')) {
				return {kind: 'give-up', reason};
			}

			const cost = isPaid ? 0 : toCost(failed);
			spend(cost);
			const latestDelayMs = failed.deadline - now - failed.expectedMs;
			return {
				kind: 'retry',
				cost,
				delayMs: Math.min(latestDelayMs, toBackoff(failed.attempt, random, options)),
				avoidServers: failed.tried.map(({server}) => server),
				avoidZones: findFailedZones(failed.tried),
			};
		},
		toCost,
		takeExtraCall(now) {
			const isHeld = toAvailable(now) >= 1;
			spend(isHeld ? 1 : 0);
			return isHeld;
		},
		available(now) {
			return Math.max(0, toAvailable(now));
		},
		capacity: toCapacity,
	};
}

/** Finds a reason that rules out any further attempt, whatever the budget. */
function findPermanentReason(failed: FailedAttempt): NoRetryReason | undefined {
	if (failed.outcome === 'ran') {
		return 'ran';
	}

	// Work that may run only once must not be sent again while its outcome is unknown: it could be billed or delivered twice.
	return failed.outcome === 'may-have-run' && !failed.repeatable ? 'not-repeatable' : undefined;
}

function findFailedZones(tried: FailedAttempt['tried']): ZoneId[] {
	const counts = new Map<ZoneId, number>();
	for (const {zone} of tried) {
		counts.set(zone, (counts.get(zone) ?? 0) + 1);
	}

	return [...counts].filter(([, count]) => count > 1).map(([zone]) => zone);
}
