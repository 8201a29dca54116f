/** What one of many hosts may spend of the retries that all may make together. */
import {type Milliseconds} from '../../ports/clock.js';
import {type RetryBudgetOptions} from '../create-retry-budget/index.js';

/** What all hosts together may make. */
export type RetryLimits = {
	/** Retries for each request. */
	retryRatio: number;
	/** Retries on top of that. */
	retrySlack: number;
	/** Time over which both are counted. */
	retryWindow: Milliseconds;
};

export type RetryShare = RetryBudgetOptions & Required<Pick<RetryBudgetOptions, 'toCapacity' | 'isEarnedOnly'>>;

export type RetryShareOptions = {
	/** Monotonic time at which this process started. */
	startedAt?: Milliseconds;
};

/** Hosts among which the retries on top of the ratio are shared at least; a host may not know of all others. */
const assumedHosts = 20;

/** Part of the ratio that is used: what one host counts as a request another may count a moment later. */
const ratioMargin = 0.8;

/**
 * Works out a host's part of the retries that all hosts together may make.
 *
 * The ratio needs no agreement: each host's part is its ratio of its own
 * requests, and the parts add up whatever hosts come, go or are cut off. What it
 * may make ahead of that is its part of the slack among the hosts that it knows,
 * and one while it may not know most of them: hundreds that start at one moment
 * would each take the part of one among twenty. A process that just started
 * waits with its part of the slack for as long as the slack is counted: the one
 * that it replaces may have spent all of it a moment ago. A call that a server
 * refused counts like any other; one that reached none costs nothing there, and
 * the tries of each request bound it.
 *
 * @param limits - What all hosts may make.
 * @param toHosts - Hosts that are known to live, with this one; `undefined` while that is not clear.
 * @param options - When this process started; long ago by default.
 * @returns The bounds of this host's budget.
 *
 * @example
 * ```ts
 * const {toCapacity} = toRetryPart({retryRatio: 0.2, retrySlack: 188, retryWindow: 10_000}, () => 74);
 * toCapacity(); // => 2
 * ```
 */
export function toRetryShare(limits: RetryLimits, toHosts: () => number | undefined, {startedAt = -Infinity}: RetryShareOptions = {}): RetryShare {
	const {retryRatio, retrySlack, retryWindow} = limits;

	function toCapacity(): number {
		const hosts = toHosts();
		return hosts === undefined ? 1 : Math.max(1, Math.floor(retrySlack / Math.max(assumedHosts, hosts)));
	}

	return {
		perSuccess: retryRatio * ratioMargin,
		perSecond: 0,
		toCapacity,
		notRunCost: 1,
		notOfferedCost: 0,
		isEarnedOnly: now => now - startedAt < retryWindow,
	};
}
