/**
 * Decides whether an attempt that failed is made again.
 *
 * Retries are paid from a bucket that finished requests fill, so that a pool
 * that fails gets at most a fixed part of its ordinary load on top, however
 * many requests fail at once.
 */
import {type Milliseconds, type Random} from '../../ports/clock.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';
import {type Outcome} from '../../ports/outcome.js';
import {msPerSecond} from '../../ports/units.js';
import {toBackoff, type BackoffOptions} from '../to-backoff/index.js';

export type RetryBudgetOptions = BackoffOptions & {
	/** Retries that one successful request pays for. */
	perSuccess?: number;
	/** Retries a second that are allowed without any success, so that a pool with little traffic can retry at all. */
	perSecond?: number;
	/** Retries that can be saved up. */
	capacity?: number;
	/** The same where it changes, for example with the number of hosts that share it. */
	toCapacity?: () => number;
	/** Attempts of one request, the first included. */
	maxAttempts?: number;
	/** Cost of a retry of which the server said that it started nothing; such a one repeats no work. */
	notRunCost?: number;
	/** Cost of a retry after a call of which no byte was offered: no server saw it. */
	notOfferedCost?: number;
	/** Whether only what successes paid for may be spent, as what was saved up before may be spent already; never by default. */
	isEarnedOnly?: (now: Milliseconds) => boolean;
};

export type FailedAttempt = {
	/** Whether the rule lets the request run again. */
	repeatable: boolean;
	/** Bytes of the request that were offered to the server in this attempt. */
	bytesOffered: number;
	/** What is known of the attempt: `not-run` only when no byte was offered or the server said so. */
	outcome: Outcome;
	/** Attempts that this request may have at most, where its rule says so. */
	maxAttempts?: number;
	/** Number of the attempt that failed, from 1. */
	attempt: number;
	/** Monotonic time by which the answer is due. */
	deadline: Milliseconds;
	/** Time that another attempt is expected to take to be in time. */
	expectedMs: Milliseconds;
	/** Servers tried so far, and their zones, this attempt's last. */
	tried: ReadonlyArray<{server: ServerId; zone: ZoneId}>;
};

/** Why there is no further attempt. */
export type NoRetryReason = 'ran' | 'not-repeatable' | 'attempts' | 'deadline' | 'budget';

export type RetryAnswer =
	| {
		kind: 'retry';
		delayMs: Milliseconds;
		/** What the budget was charged. */
		cost: number;
		/** Servers that the next attempt must not use. */
		avoidServers: readonly ServerId[];
		/** Zones that the next attempt should leave if another one can serve: those in which two attempts failed. */
		avoidZones: readonly ZoneId[];
	}
	| {kind: 'give-up'; reason: NoRetryReason};

export type RetryBudget = {
	/** Notes a request that ended well; it pays for a part of a retry. */
	noteSuccess: (now: Milliseconds) => void;
	/** Why {@link RetryBudget.takeRetry} would not retry, `undefined` if it would; spends nothing. */
	findNoRetryReason: (failed: FailedAttempt, now: Milliseconds) => NoRetryReason | undefined;
	/** Decides, and spends from the budget when the answer is `retry`. */
	takeRetry: (failed: FailedAttempt, now: Milliseconds, random: Random) => RetryAnswer;
	/** Spends one more, for a further call of an attempt that was granted, where the bucket holds it; tells whether it did. */
	takeExtraCall: (now: Milliseconds) => boolean;
	/** Retries that the bucket holds. */
	available: (now: Milliseconds) => number;
	/** Retries that the bucket holds when it is full. */
	capacity: () => number;
};

/**
 * Creates the retry budget of one pool.
 *
 * @param options - ratios and bounds: 0.1 a success, 0.5 a second, 10 saved up, 3 attempts, 0.25 for work that did not start.
 * @returns functions that decide; `now` is monotonic milliseconds.
 * @example
 * const budget = createRetryBudget();
 * budget.takeRetry({
 * 	repeatable: false, bytesOffered: 900, outcome: 'may-have-run', attempt: 1,
 * 	deadline: 5000, expectedMs: 800, tried: [{server: 's1', zone: 'z1'}],
 * }, 100, Math.random); // {kind: 'give-up', reason: 'not-repeatable'}
 */
export function createRetryBudget(options: RetryBudgetOptions = {}): RetryBudget {
	const {perSuccess = 0.1, perSecond = 0.5, capacity = 10, toCapacity = () => capacity, maxAttempts = 3, notRunCost = 0.25, isEarnedOnly = () => false} = options;
	const notOfferedCost = options.notOfferedCost ?? notRunCost;
	/** Retries that were made and not paid for yet: the bucket is full without any, however large it is by then. */
	let debt = 0;
	/** What successes and time have paid for since the start, without what was spent of it. */
	let earned = 0;
	let filledAt: Milliseconds | undefined;

	function earn(retries: number): void {
		debt = Math.max(0, debt - retries);
		earned = Math.min(toCapacity(), earned + retries);
	}

	function spend(cost: number): void {
		debt += cost;
		earned = Math.max(0, earned - cost);
	}

	function fill(now: Milliseconds): void {
		const elapsedMs = Math.max(0, now - (filledAt ?? now));
		earn(elapsedMs * perSecond / msPerSecond);
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
			earn(perSuccess);
		},
		findNoRetryReason: findReason,
		takeRetry(failed, now, random) {
			const reason = findReason(failed, now);
			if (reason !== undefined) {
				return {kind: 'give-up', reason};
			}

			const cost = toCost(failed);
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

/** What bars another attempt for good, whatever the budget. */
function findPermanentReason(failed: FailedAttempt): NoRetryReason | undefined {
	if (failed.outcome === 'ran') {
		return 'ran';
	}

	// Work that may run once only must not be offered again while its fate is open: it would be billed, or delivered, twice.
	return failed.outcome === 'may-have-run' && !failed.repeatable ? 'not-repeatable' : undefined;
}

function findFailedZones(tried: FailedAttempt['tried']): ZoneId[] {
	const counts = new Map<ZoneId, number>();
	for (const {zone} of tried) {
		counts.set(zone, (counts.get(zone) ?? 0) + 1);
	}

	return [...counts].filter(([, count]) => count > 1).map(([zone]) => zone);
}
