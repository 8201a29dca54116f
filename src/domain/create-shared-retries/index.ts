/**
 * Shares retries between hosts. A service may be sent so many retries by all hosts
 * together. If each host had an equal part, some would refuse callers while others
 * leave their parts unspent. Here a host keeps a small part for itself and asks the
 * keeper of the shared part when its own is spent; what it earns and can't keep, it
 * adds to the shared part.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type BucketRate, type QuotaSpend} from '../../ports/quotas.js';
import {msPerSecond} from '../../ports/units.js';

/** Prefix of the names under which keepers count retries. Names of workspaces are sent in headers, so none of them contains a line break. */
const keyPrefix = '\nretries ';

/** Shortest time between two messages about surplus retries of a pool. */
const surplusIntervalMs: Milliseconds = 5 * msPerSecond;

/** The shared part, and the number of hosts for which it was computed. */
export type SharedPart = {
	hosts: number;
	rate: BucketRate;
};

export type SharedRetriesOptions = {
	/** Returns the shared part; `undefined` while this host may not use it. */
	toPart: (now: Milliseconds) => SharedPart | undefined;
};

export type SharedRetries = {
	/** Returns what to ask the keeper for; `undefined` if there is nothing to ask for. */
	toSpend: (pool: string, retries: number, now: Milliseconds) => QuotaSpend | undefined;
	/** Adds retries that this host earned and can't keep; returns what to give to the keeper now, if anything. */
	addSurplus: (pool: string, retries: number, now: Milliseconds) => QuotaSpend | undefined;
};

/**
 * Creates the account of one host.
 *
 * @param options - The shared part.
 * @returns See {@link SharedRetries}; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const shared = createSharedRetries({toPart: () => ({hosts: 58, rate: {perSecond: 2, burst: 60}})});
 * shared.toSpend('model', 2, 0); // => {workspace: '\nretries model', cost: 2, edition: 58, rate: {perSecond: 2, burst: 60}}
 * ```
 */
export function createSharedRetries({toPart}: SharedRetriesOptions): SharedRetries {
	const surplus = new Map<string, {retries: number; toldAt: Milliseconds}>();

	function toSpend(pool: string, retries: number, now: Milliseconds): QuotaSpend | undefined {
		const part = toPart(now);
		if (part === undefined || part.rate.burst <= 0) {
			return undefined;
		}

		// The more hosts there are, the smaller is the shared part, so the keeper uses the part of the host that knows the most.
		return {
			workspace: `${keyPrefix}${pool}`, cost: retries, edition: part.hosts, rate: part.rate,
		};
	}

	return {
		toSpend,
		addSurplus(pool, retries, now) {
			const known = surplus.get(pool) ?? {retries: 0, toldAt: now};
			const collected = {...known, retries: known.retries + retries};
			surplus.set(pool, collected);
			if (now - collected.toldAt < surplusIntervalMs) {
				return undefined;
			}

			surplus.set(pool, {retries: 0, toldAt: now});
			return toSpend(pool, collected.retries, now);
		},
	};
}
