/** The retry budgets of all pools. */
import {createRetryBudget, type RetryBudget, type RetryBudgetOptions} from '../../../../domain/create-retry-budget/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {msPerMinute} from '../../../../ports/units.js';

export type PoolBudgets = {
	/** Returns the budget of a pool, a full one if the pool is new. */
	toRetryBudget: (pool: string) => RetryBudget;
	/** Sets the pools of the configuration, and evicts budgets of pools that were removed at least ten minutes ago. */
	setPools: (pools: ReadonlySet<string>, now: Milliseconds) => void;
};

export type PoolBudgetHooks = {
	onSurplus?: ((pool: string, retries: number, now: Milliseconds) => void) | undefined;
};

/**
 * Time for which the budget of a removed pool is kept. Were it evicted at once,
 * a pool that comes back with the next configuration would get a full budget on
 * every host, and would be sent as many retries again as it has just received.
 */
const retentionMs: Milliseconds = 10 * msPerMinute;

/**
 * Creates an empty set of retry budgets, one for each pool.
 *
 * @param options - Bounds of each pool's retries.
 * @param hooks - Called with what a pool's successes earn while its budget is full.
 * @returns Functions that return and evict budgets.
 */
export function createPoolBudgets(options: RetryBudgetOptions, {onSurplus}: PoolBudgetHooks = {}): PoolBudgets {
	const budgets = new Map<string, RetryBudget>();
	/** When pools left the configuration. */
	const removedAt = new Map<string, Milliseconds>();

	function evict(pool: string): void {
		budgets.delete(pool);
		removedAt.delete(pool);
	}

	return {
		toRetryBudget(pool) {
			const budget = budgets.get(pool) ?? createRetryBudget({
				...options, onSurplus(retries, now) {
					onSurplus?.(pool, retries, now);
				},
			});
			budgets.set(pool, budget);
			return budget;
		},
		setPools(pools, now) {
			for (const pool of budgets.keys()) {
				if (pools.has(pool)) {
					removedAt.delete(pool);
					continue;
				}

				const since = removedAt.get(pool) ?? now;
				removedAt.set(pool, since);
				if (now - since >= retentionMs) {
					evict(pool);
				}
			}
		},
	};
}
