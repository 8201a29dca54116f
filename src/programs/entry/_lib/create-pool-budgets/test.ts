import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type FailedAttempt, type RetryBudget} from '../../../../domain/create-retry-budget/index.js';
import {createPoolBudgets} from './index.js';

const failed: FailedAttempt = {
	repeatable: true, bytesOffered: 1, outcome: 'may-have-run', attempt: 1, maxAttempts: 2, deadline: Infinity, expectedMs: 0, tried: [],
};
const capacity = 5;

function spend(budget: RetryBudget, now: number): number {
	let granted = 0;
	while (budget.takeRetry(failed, now, () => 0).kind === 'retry') {
		granted++;
	}

	return granted;
}

describe('createPoolBudgets', () => {
	it('keeps the budgets of two pools apart', () => {
		const budgets = createPoolBudgets({capacity, perSecond: 0});
		assert.equal(spend(budgets.toRetryBudget('letters'), 0), capacity);
		assert.equal(spend(budgets.toRetryBudget('desk'), 0), capacity);
		assert.equal(spend(budgets.toRetryBudget('letters'), 0), 0);
	});

	/* Two configurations follow each other quickly and the first lacks a pool: its budget must not be full again on every host. */
	it('keeps the spent budget of a pool that one configuration leaves out', () => {
		const budgets = createPoolBudgets({capacity, perSecond: 0});
		spend(budgets.toRetryBudget('letters'), 0);
		budgets.setPools(new Set(['desk']), 100);
		budgets.setPools(new Set(['desk', 'letters']), 2000);
		assert.equal(spend(budgets.toRetryBudget('letters'), 2000), 0);
	});

	it('measures retention from the time of removal, however often other pools change', () => {
		const budgets = createPoolBudgets({capacity, perSecond: 0});
		spend(budgets.toRetryBudget('letters'), 0);
		for (let now = 0; now <= 11 * 60_000; now += 60_000) {
			budgets.setPools(new Set(['desk']), now);
		}

		assert.equal(spend(budgets.toRetryBudget('letters'), 11 * 60_000), capacity);
	});

	it('keeps the budget of a removed pool for ten minutes, and no longer', () => {
		for (const [afterMs, granted] of [[(10 * 60_000) - 1, 0], [10 * 60_000, capacity]] as const) {
			const budgets = createPoolBudgets({capacity, perSecond: 0});
			spend(budgets.toRetryBudget('letters'), 0);
			budgets.setPools(new Set(['desk']), 0);
			budgets.setPools(new Set(['desk']), afterMs);
			assert.equal(spend(budgets.toRetryBudget('letters'), afterMs), granted, `after ${afterMs} ms`);
		}
	});

	it('restarts retention when a pool is removed again', () => {
		const budgets = createPoolBudgets({capacity, perSecond: 0});
		spend(budgets.toRetryBudget('letters'), 0);
		budgets.setPools(new Set(['desk']), 0);
		budgets.setPools(new Set(['desk', 'letters']), 9 * 60_000);
		budgets.setPools(new Set(['desk']), 9 * 60_000);
		budgets.setPools(new Set(['desk']), 11 * 60_000);
		assert.equal(spend(budgets.toRetryBudget('letters'), 11 * 60_000), 0);
	});

	it('tells which pool earned what its budget can\'t keep', () => {
		const surplus: Array<[string, number, number]> = [];
		const budgets = createPoolBudgets({capacity, perSecond: 0, perSuccess: 0.5}, {
			onSurplus(...told) {
				surplus.push(told);
			},
		});
		budgets.toRetryBudget('letters').noteSuccess(1);
		budgets.toRetryBudget('desk').noteSuccess(2);
		assert.deepEqual(surplus, [['letters', 0.5, 1], ['desk', 0.5, 2]]);
	});

	it('needs nobody who takes what a budget can\'t keep', () => {
		const budget = createPoolBudgets({capacity, perSecond: 0}).toRetryBudget('letters');
		budget.noteSuccess(1);
		assert.equal(budget.available(1), capacity);
	});
});
