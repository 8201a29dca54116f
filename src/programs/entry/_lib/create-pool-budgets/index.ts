/** The retry budgets of all pools. */
import {createRetryBudget, type RetryBudget, type RetryBudgetOptions} from '../../../../domain/create-retry-budget/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {msPerMinute} from '../../../../ports/units.js';

export type PoolBudgets = {
	/** The budget of a pool; a full one where the pool is new. */
	toRetryBudget: (pool: string) => RetryBudget;
	/** Notes which pools the configuration has, and forgets those that it has not had for long. */
	setPools: (pools: ReadonlySet<string>, now: Milliseconds) => void;
};

/**
 * Time for which a pool that left the configuration keeps its budget. Forgotten at
 * once, a pool that comes back with the next configuration would be sent all the
 * retries again that every host has just made.
 */
const retentionMs: Milliseconds = 10 * msPerMinute;

/**
 * Creates the budgets of no pool yet.
 *
 * @param options - Bounds of each pool's retries.
 * @returns Functions that give and forget budgets.
 */
export function createPoolBudgets(options: RetryBudgetOptions): PoolBudgets {
	const budgets = new Map<string, RetryBudget>();
	/** When pools left the configuration. */
	const removedAt = new Map<string, Milliseconds>();

	function evict(pool: string): void {
		budgets.delete(pool);
		removedAt.delete(pool);
	}

	return {
		toRetryBudget(pool) {
			const budget = budgets.get(pool) ?? createRetryBudget(options);
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
