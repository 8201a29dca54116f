/** Computes one host's share of the retries that all hosts together may make. */
import {type Milliseconds} from '../../ports/clock.js';
import {type RetryBudgetOptions} from '../create-retry-budget/index.js';
import {type SharedPart} from '../create-shared-retries/index.js';
import {msPerSecond} from '../../ports/units.js';

/** Limits of the retries of all hosts together. */
export type RetryLimits = {
	/** Retries per request. */
	retryRatio: number;
	/** Retries in addition to the ratio. */
	retrySlack: number;
	/** Window over which both are counted, milliseconds. */
	retryWindow: Milliseconds;
};

export type RetryShare = RetryBudgetOptions & Required<Pick<RetryBudgetOptions, 'toCapacity' | 'isEarnedOnly'>> & {
	/** Part of the slack that the hosts spend together; `undefined` while this host may not use it. */
	toSharedPart: (now: Milliseconds) => SharedPart | undefined;
};

export type RetryShareOptions = {
	/** Monotonic time at which this process started. */
	startedAt?: Milliseconds;
	/** Whether the hosts spend a part of the slack together. */
	isShared?: boolean;
};

/** Minimum number of hosts among which the slack is divided, as a host may not know all others. */
const assumedHosts = 20;

/** Share of the ratio that is used; the service may count a request in a later window than the host does. */
const ratioMargin = 0.8;

/** Part of a host's share of the slack that it keeps for itself where the rest is shared. */
const ownPart = 0.5;

/**
 * Part of the shared slack that is used. While hosts or zones are cut off or lost,
 * two keepers may for a moment not know all of what the other one granted.
 */
const sharedMargin = 0.9;

/** Part of the shared slack that is added over a window; the rest is the burst. */
const refillPart = 0.1;

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
 * Where the hosts share a part of the slack, a host keeps half of its part and at
 * least one retry. Own parts and the shared part sum up to the slack at most.
 *
 * @param limits - Limits for all hosts together.
 * @param toHosts - Number of hosts known to be alive, including this one; `undefined` while the number is unknown.
 * @param options - When this process started, long ago by default; and whether hosts share a part of the slack.
 * @returns Options for this host's retry budget.
 *
 * @example
 * ```ts
 * const {toCapacity} = toRetryShare({retryRatio: 0.2, retrySlack: 188, retryWindow: 10_000}, () => 74);
 * toCapacity(); // => 2
 * ```
 */
export function toRetryShare(limits: RetryLimits, toHosts: () => number | undefined, {startedAt = -Infinity, isShared = false}: RetryShareOptions = {}): RetryShare {
	const {retryRatio, retrySlack, retryWindow} = limits;

	const isStarting = (now: Milliseconds): boolean => now - startedAt < retryWindow;

	function toOwnCapacity(hosts: number): number {
		const share = retrySlack * (isShared ? ownPart : 1) / Math.max(assumedHosts, hosts);
		return Math.max(1, Math.floor(share));
	}

	function toCapacity(): number {
		const hosts = toHosts();
		return hosts === undefined ? 1 : toOwnCapacity(hosts);
	}

	function toSharedPart(now: Milliseconds): SharedPart | undefined {
		const hosts = toHosts();
		if (!isShared || hosts === undefined || isStarting(now)) {
			return undefined;
		}

		const slack = sharedMargin * Math.max(0, retrySlack - (toOwnCapacity(hosts) * Math.max(assumedHosts, hosts)));
		return {hosts, rate: {perSecond: refillPart * slack * msPerSecond / retryWindow, burst: (1 - refillPart) * slack}};
	}

	return {
		perSuccess: retryRatio * ratioMargin,
		perSecond: 0,
		toCapacity,
		notRunCost: 1,
		notOfferedCost: 0,
		isEarnedOnly: isStarting,
		toSharedPart,
	};
}
