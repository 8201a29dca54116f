/** Computes one host's share of the retries that all hosts together may make. */
import {type Milliseconds} from '../../ports/clock.js';
import {type RetryBudgetOptions} from '../create-retry-budget/index.js';

/** Limits of the retries of all hosts together. */
export type RetryLimits = {
	/** Retries per request. */
	retryRatio: number;
	/** Retries in addition to the ratio. */
	retrySlack: number;
	/** Window over which both are counted, milliseconds. */
	retryWindow: Milliseconds;
};

export type RetryShare = RetryBudgetOptions & Required<Pick<RetryBudgetOptions, 'toCapacity' | 'isEarnedOnly'>>;

export type RetryShareOptions = {
	/** Monotonic time at which this process started. */
	startedAt?: Milliseconds;
};

/** Minimum number of hosts among which the slack is divided, as a host may not know all others. */
const assumedHosts = 20;

/** Share of the ratio that is used; the service may count a request in a later window than the host does. */
const ratioMargin = 0.8;

/**
 * Computes a host's share of the retries that all hosts together may make.
 *
 * The ratio needs no coordination: each host applies the ratio to its own
 * requests, and the sum is right whichever hosts join, leave or are partitioned.
 * The slack is divided among the hosts that this host knows. While it may not know
 * most of them, its share of the slack is one retry: with the share of one in
 * twenty each, hundreds of hosts that start at the same moment would exceed the
 * slack. A process that has just started does not use its share of the slack until
 * one window has passed, because the process that it replaces may just have spent
 * all of it. A call that a server refused costs as much as any other. A call that
 * reached no server costs nothing; the attempts of each request limit such calls.
 *
 * @param limits - Limits for all hosts together.
 * @param toHosts - Number of hosts known to be alive, including this one; `undefined` while the number is unknown.
 * @param options - When this process started; long ago by default.
 * @returns Options for this host's retry budget.
 *
 * @example
 * ```ts
 * const {toCapacity} = toRetryShare({retryRatio: 0.2, retrySlack: 188, retryWindow: 10_000}, () => 74);
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
