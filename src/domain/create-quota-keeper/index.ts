/** Counts what workspaces use of their limits, on the host that decides for them. */
import {type Milliseconds} from '../../ports/clock.js';
import {type WorkspaceId} from '../../ports/ids.js';
import {type BucketRate, type QuotaSpend, type QuotaVerdict} from '../../ports/quotas.js';
import {createTokenBucket, type TokenBucket} from '../create-token-bucket/index.js';

/**
 * Share of the burst that a workspace may use at once where its use is not known: on
 * a host that has just started, and on one that decides in place of another.
 */
const startShare = 0.25;

/**
 * A request is small if it costs at most this share of what a usual unit is used in
 * (the mean cost weighted by cost). Beside large requests small ones hardly add to
 * the use, so they are granted in a debt of up to this many usual costs, in which
 * large ones wait. Without that a workspace above its
 * limit would lose as many of its small requests as of its large ones.
 */
const smallShare = 0.25;
const smallDebtCosts = 2;

/** Weight of one request in the mean cost of a workspace. */
const meanWeight = 0.05;

/** Number of workspaces from which on full buckets are dropped; a dropped one is created anew as full. */
const minKept = 256;

export type QuotaKeeperOptions = {
	/** Monotonic time at which this process started. */
	startedAt: Milliseconds;
	/** Time after the start in which use before the start may still count. */
	startupMs: Milliseconds;
};

export type QuotaDecision = {
	/** Part of the limit that this host may grant now. */
	share: number;
	/** Whether this host decides in place of another one, which may have granted the whole burst a moment ago. */
	isSubstitute?: boolean;
};

export type QuotaKeeper = {
	/** Grants the use if the workspace has any units left of this host's share of the limit, or a small one if it has just gone into debt. */
	decide: (spend: QuotaSpend, options: QuotaDecision, now: Milliseconds) => QuotaVerdict;
	/** Counts use that another host granted, or that is given back. */
	note: (spend: QuotaSpend, now: Milliseconds) => void;
	/** Number of workspaces that are counted. */
	size: () => number;
};

type Entry = {
	bucket: TokenBucket;
	edition: number;
	rate: BucketRate;
	/** This host's share of the rate at the last decision. */
	granted: BucketRate;
	/** Means over the requests that were asked for here. */
	meanCost: number;
	meanSquare: number;
};

const toShareOf = ({perSecond, burst}: BucketRate, share: number): BucketRate => ({perSecond: perSecond * share, burst: burst * share});

/**
 * Creates the counts of a host that has granted nothing yet.
 *
 * @param options - When the process started.
 * @returns See {@link QuotaKeeper}; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const keeper = createQuotaKeeper({startedAt: -Infinity, startupMs: 10_000});
 * keeper.decide({workspace: 'a', cost: 5, edition: 1, rate: {perSecond: 1, burst: 2}}, {share: 1}, 0); // => {isGranted: true, waitMs: 3001}
 * ```
 */
export function createQuotaKeeper({startedAt, startupMs}: QuotaKeeperOptions): QuotaKeeper {
	const entries = new Map<WorkspaceId, Entry>();
	let keptCount = minKept;

	function dropFull(now: Milliseconds): void {
		for (const [workspace, {bucket, granted}] of entries) {
			if (bucket.level(granted, now) >= granted.burst) {
				entries.delete(workspace);
			}
		}

		keptCount = Math.max(minKept, 2 * entries.size);
	}

	function create({edition, rate, cost}: QuotaSpend, isSubstitute: boolean, now: Milliseconds): Entry {
		const isUseUnknown = isSubstitute || now - startedAt < startupMs;
		return {
			bucket: createTokenBucket(isUseUnknown ? rate.burst * startShare : rate.burst, now), edition, rate, granted: rate, meanCost: Math.abs(cost), meanSquare: cost ** 2,
		};
	}

	/** Returns the mean cost weighted by cost. */
	function addToMeans(entry: Entry, cost: number): number {
		entry.meanCost += meanWeight * (cost - entry.meanCost);
		entry.meanSquare += meanWeight * ((cost ** 2) - entry.meanSquare);
		return entry.meanSquare / Math.max(1, entry.meanCost);
	}

	function find(spend: QuotaSpend, isSubstitute: boolean, now: Milliseconds): Entry {
		const known = entries.get(spend.workspace);
		if (known === undefined) {
			if (entries.size >= keptCount) {
				dropFull(now);
			}

			const entry = create(spend, isSubstitute, now);
			entries.set(spend.workspace, entry);
			return entry;
		}

		if (spend.edition > known.edition) {
			// What was earned until now was earned at the former rate.
			known.bucket.level(known.rate, now);
			known.edition = spend.edition;
			known.rate = spend.rate;
		}

		return known;
	}

	return {
		decide(spend, {share, isSubstitute = false}, now) {
			const entry = find(spend, isSubstitute, now);
			const {bucket} = entry;
			const granted = toShareOf(entry.rate, share);
			entry.granted = granted;
			const usualCost = addToMeans(entry, spend.cost);
			const isSmall = !isSubstitute && spend.cost <= smallShare * usualCost;
			const leastLevel = isSmall ? -smallDebtCosts * usualCost : 0;
			if (bucket.level(granted, now) <= leastLevel) {
				return {isGranted: false, waitMs: bucket.waitMs(leastLevel, granted, now)};
			}

			bucket.spend(spend.cost, granted, now);
			return {isGranted: true, waitMs: bucket.waitMs(leastLevel, granted, now)};
		},
		note(spend, now) {
			const {bucket, rate} = find(spend, false, now);
			bucket.spend(spend.cost, rate, now);
		},
		size: () => entries.size,
	};
}
