import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createRetryBudget, type FailedAttempt, type RetryBudget} from '../create-retry-budget/index.js';
import {toRetryShare} from './index.js';

const failed: FailedAttempt = {
	repeatable: true, bytesOffered: 1, outcome: 'may-have-run', attempt: 1, maxAttempts: 2, deadline: 1_000_000, expectedMs: 0, tried: [],
};

/*
 * Guards against a retry storm of all hosts together. A service fails every call,
 * and each host retries as long as its share of the budget lasts, without knowing of
 * the other hosts, which join, leave and are partitioned. More retries than the limit
 * would bring down the rest of the service.
 */
describe('toRetryShare', () => {
	it('sums up to at most the ratio plus the slack over all hosts, however requests are distributed (property)', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 300}), {minLength: 1, maxLength: 20}), requests => {
			const limits = {retryRatio: 0.2, retrySlack: 54, retryWindow: 10_000};
			let retries = 0;
			for (const count of requests) {
				const budget = createRetryBudget(toRetryShare(limits, () => requests.length));
				for (let i = 0; i < count; i++) {
					budget.noteSuccess(i);
					retries += budget.takeRetry(failed, i, () => 0).kind === 'retry' ? 1 : 0;
				}
			}

			const total = requests.reduce((sum, count) => sum + count, 0);
			assert.ok(retries <= (total * limits.retryRatio) + limits.retrySlack, `${retries} for ${total}`);
		}));
	});

	/*
	 * Guards against hundreds of hosts that restart at the same moment while a service
	 * fails every call. None knows yet how many hosts there are; if each took the share
	 * of one in twenty, they would make ten times the allowed retries.
	 */
	for (const hosts of [20, 195, 402]) {
		it(`stays within the limit with ${hosts} hosts that have just started, and when they know each other`, () => {
			const limits = {retryRatio: 0.2, retrySlack: 430, retryWindow: 10_000};
			for (const known of [undefined, hosts]) {
				const budgets = Array.from({length: hosts}, () => createRetryBudget(toRetryShare(limits, () => known)));
				let requests = 0;
				// Hosts that know each other have earned retries for some seconds before all calls fail.
				for (const budget of known === undefined ? [] : budgets) {
					for (let i = 0; i < 200; i++) {
						budget.noteSuccess(0);
					}
				}

				let retries = 0;
				for (const budget of budgets) {
					for (let i = 0; i < 50; i++) {
						requests++;
						retries += budget.takeRetry(failed, 0, () => 0).kind === 'retry' ? 1 : 0;
					}
				}

				assert.ok(retries <= (requests * limits.retryRatio) + limits.retrySlack, `${retries} for ${requests}, ${known ?? 'none'} known`);
				assert.ok(retries <= limits.retrySlack, `${retries} out of the slack, ${known ?? 'none'} known`);
				assert.ok(retries >= hosts * 0.9, `${retries} by ${hosts} hosts: too careful`);
			}
		});
	}

	it('sums up to at most the slack over all hosts and the part that they share (property)', () => {
		fc.assert(fc.property(fc.integer({min: 20, max: 500}), fc.integer({min: 0, max: 1000}), (hosts, retrySlack) => {
			const share = toRetryShare({retryRatio: 0.2, retrySlack, retryWindow: 10_000}, () => hosts, {isShared: true});
			const {perSecond, burst} = share.toSharedPart(0)!.rate;
			assert.ok(perSecond >= 0 && burst >= 0);
			// Each host may make one retry, however small the slack is.
			const own = hosts * share.toCapacity();
			assert.ok(own + (10 * perSecond) + burst <= Math.max(retrySlack, hosts), `${own} of their own, ${perSecond} a second and ${burst} at once`);
		}));
	});

	it('shares nine tenths of what the own parts leave, a tenth of it over a window', () => {
		const {hosts, rate} = toRetryShare({retryRatio: 0.2, retrySlack: 156, retryWindow: 10_000}, () => 58, {isShared: true}).toSharedPart(0)!;
		assert.equal(hosts, 58);
		const shared = 0.9 * (156 - 58);
		assert.ok(Math.abs(rate.burst - (0.9 * shared)) < 1e-9, `${rate.burst}`);
		assert.ok(Math.abs(rate.perSecond - (0.1 * shared / 10)) < 1e-9, `${rate.perSecond}`);
	});

	it('shares nothing while a host is starting or does not know the others', () => {
		const limits = {retryRatio: 0.2, retrySlack: 156, retryWindow: 10_000};
		assert.equal(toRetryShare(limits, () => 58, {isShared: true, startedAt: 5000}).toSharedPart(14_999), undefined);
		assert.equal(toRetryShare(limits, () => undefined, {isShared: true}).toSharedPart(0), undefined);
		assert.equal(toRetryShare(limits, () => 58).toSharedPart(0), undefined);
		assert.equal(toRetryShare(limits, () => 58, {isShared: true, startedAt: 5000}).toSharedPart(15_000)?.hosts, 58);
	});

	/* Guards against hosts that use the whole ratio although the service may count a request in another window. */
	it('leaves a fifth of the ratio unused', () => {
		const budget = createRetryBudget(toRetryShare({retryRatio: 0.2, retrySlack: 40, retryWindow: 10_000}, () => 20));
		const requests = 1000;
		let retries = 0;
		for (let i = 0; i < requests; i++) {
			budget.noteSuccess(i);
			retries += budget.takeRetry(failed, i, () => 0).kind === 'retry' ? 1 : 0;
		}

		const part = 2;
		assert.ok(retries <= part + (requests * 0.2 * 0.8), `${retries} retries`);
		assert.ok(retries >= requests * 0.2 * 0.8, `${retries} retries: too careful`);
	});

	/* Guards against refused calls that are charged too little: the service counts each call that reaches it. */
	it('charges as much for a call that a server refused as for one that failed', () => {
		const budget = createRetryBudget(toRetryShare({retryRatio: 0, retrySlack: 100, retryWindow: 10_000}, () => 20));
		const refused: FailedAttempt = {...failed, outcome: 'not-run'};
		const kinds = Array.from({length: 7}, (_, i) => budget.takeRetry(i % 2 === 0 ? refused : failed, 0, () => 0).kind);
		assert.deepEqual(kinds, ['retry', 'retry', 'retry', 'retry', 'retry', 'give-up', 'give-up']);
	});

	describe('of a process that just started', () => {
		const limits = {retryRatio: 0.2, retrySlack: 40, retryWindow: 10_000};
		const part = 2;
		const startedAt = 5000;
		const spendAll = (budget: RetryBudget, now: number): number => {
			let granted = 0;
			while (budget.takeRetry(failed, now, () => 0).kind === 'retry') {
				granted++;
			}

			return granted;
		};

		/* Guards against processes that are killed together and spend again the share that their predecessors have just spent. */
		it('has no share of the slack until the window of its predecessor has passed, and then its whole share', () => {
			for (const [now, granted] of [[5000, 0], [14_999, 0], [15_000, part], [60_000, part]] as const) {
				assert.equal(spendAll(createRetryBudget(toRetryShare(limits, () => 20, {startedAt})), now), granted, `at ${now}`);
			}

			const budget = createRetryBudget(toRetryShare(limits, () => 20, {startedAt}));
			assert.deepEqual([5000, 14_999, 15_000, 15_001].map(now => spendAll(budget, now)), [0, 0, part, 0]);
		});

		it('may spend the retries that its own successes earn in the meantime, up to its share at once', () => {
			const budget = createRetryBudget(toRetryShare(limits, () => 20, {startedAt}));
			const spent = Array.from({length: 25}, () => {
				budget.noteSuccess(6000);
				return spendAll(budget, 6000);
			});
			assert.equal(spent.reduce((sum, count) => sum + count, 0), 4);
			for (let i = 0; i < 200; i++) {
				budget.noteSuccess(7000);
			}

			assert.equal(spendAll(budget, 7000), part);
			assert.equal(spendAll(budget, 15_000), 0);
		});

		it('is charged for an extra call of an attempt as well', () => {
			const budget = createRetryBudget(toRetryShare(limits, () => 20, {startedAt}));
			assert.equal(budget.takeExtraCall(6000), false);
			for (let i = 0; i < 7; i++) {
				budget.noteSuccess(6000);
			}

			assert.deepEqual([budget.takeExtraCall(6000), budget.takeExtraCall(6000)], [true, false]);
		});

		it('stays within its share and ratio at any time (property)', () => {
			fc.assert(fc.property(fc.array(fc.record({isSuccess: fc.boolean(), afterMs: fc.nat({max: 3000})}), {maxLength: 200}), steps => {
				const budget = createRetryBudget(toRetryShare(limits, () => 20, {startedAt: 0}));
				let now = 0;
				let successes = 0;
				let heldRetries = 0;
				let retries = 0;
				for (const {isSuccess, afterMs} of steps) {
					now += afterMs;
					successes += isSuccess ? 1 : 0;
					if (isSuccess) {
						budget.noteSuccess(now);
					}

					const granted = isSuccess ? 0 : spendAll(budget, now);
					retries += granted;
					heldRetries += now < limits.retryWindow ? granted : 0;
					assert.ok(heldRetries <= successes * limits.retryRatio, `${heldRetries} of ${successes} while held`);
					assert.ok(retries <= part + (successes * limits.retryRatio), `${retries} of ${successes}`);
				}
			}));
		});
	});

	it('charges nothing for a call that reached no server', () => {
		const budget = createRetryBudget(toRetryShare({retryRatio: 0, retrySlack: 0, retryWindow: 10_000}, () => 0));
		const unreached: FailedAttempt = {...failed, bytesOffered: 0, outcome: 'not-run'};
		assert.deepEqual(Array.from({length: 5}, () => budget.takeRetry(unreached, 0, () => 0).kind), Array.from({length: 5}, () => 'retry'));
	});
});
