import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createRetryBudget, type FailedAttempt, type RetryBudget} from './index.js';

const failure = (changes: Partial<FailedAttempt> = {}): FailedAttempt => ({
	repeatable: true,
	bytesOffered: 100,
	outcome: 'may-have-run',
	attempt: 1,
	deadline: 1000,
	expectedMs: 200,
	tried: [{server: 's1', zone: 'z1'}],
	...changes,
});

const half = (): number => 0.5;

describe('createRetryBudget', () => {
	const cases: Array<{name: string; failed: FailedAttempt; now?: number; expected: string}> = [
		{name: 'repeatable work', failed: failure(), expected: 'retry'},
		{name: 'work that did not start, though not repeatable', failed: failure({repeatable: false, outcome: 'not-run'}), expected: 'retry'},
		{name: 'work of which no byte was sent', failed: failure({repeatable: false, bytesOffered: 0, outcome: 'not-run'}), expected: 'retry'},
		{name: 'unrepeatable work of unknown outcome', failed: failure({repeatable: false}), expected: 'not-repeatable'},
		{name: 'work that ran', failed: failure({outcome: 'ran'}), expected: 'ran'},
		{name: 'a third failure', failed: failure({attempt: 3}), expected: 'attempts'},
		{
			name: 'a deadline that cannot be met', failed: failure(), now: 801, expected: 'deadline',
		},
		{
			name: 'a deadline that can just be met', failed: failure(), now: 800, expected: 'retry',
		},
	];
	for (const {name, failed, now = 0, expected} of cases) {
		it(`answers ${expected} to ${name}`, () => {
			const budget = createRetryBudget();
			const answer = budget.takeRetry(failed, now, half);
			assert.equal(answer.kind === 'retry' ? answer.kind : answer.reason, expected);
			assert.equal(createRetryBudget().findNoRetryReason(failed, now) ?? 'retry', expected);
		});
	}

	it('returns the servers tried, and the zones in which two attempts failed', () => {
		const tried = [{server: 's1', zone: 'z1'}, {server: 's2', zone: 'z1'}];
		assert.deepEqual(createRetryBudget().takeRetry(failure({attempt: 2, tried}), 0, half), {
			kind: 'retry', cost: 1, delayMs: 25, avoidServers: ['s1', 's2'], avoidZones: ['z1'],
		});
	});

	it('does not avoid a zone in which one attempt failed', () => {
		const tried = [{server: 's1', zone: 'z1'}, {server: 's2', zone: 'z2'}, {server: 's3', zone: 'z2'}];
		const answer = createRetryBudget({maxAttempts: 4}).takeRetry(failure({attempt: 3, tried}), 0, half);
		assert.deepEqual(answer.kind === 'retry' && answer.avoidZones, ['z2']);
	});

	/* Guards against attempts with several calls that are charged as one. */
	it('grants an extra call only while the bucket has enough', () => {
		const budget = createRetryBudget({capacity: 2, perSecond: 0});
		assert.deepEqual([budget.takeExtraCall(0), budget.takeExtraCall(0), budget.takeExtraCall(0)], [true, true, false]);
		assert.equal(budget.available(0), 0);
	});

	it('gives up when the budget is spent, and earns by time and by success', () => {
		const budget = createRetryBudget({capacity: 2, perSecond: 0.5, perSuccess: 0.25});
		assert.equal(budget.available(0), 2);
		assert.equal(budget.takeRetry(failure({deadline: 1e9}), 0, half).kind, 'retry');
		assert.equal(budget.takeRetry(failure({deadline: 1e9}), 0, half).kind, 'retry');
		assert.deepEqual(budget.takeRetry(failure({deadline: 1e9}), 0, half), {kind: 'give-up', reason: 'budget'});
		assert.equal(budget.available(1000), 0.5);
		budget.noteSuccess(1000);
		assert.equal(budget.available(1000), 0.75);
		assert.equal(budget.available(1500), 1);
		assert.equal(budget.findNoRetryReason(failure({deadline: 1e9}), 1500), undefined);
		assert.equal(budget.available(60_000), 2);
	});

	for (const {name, options, cost} of [
		{name: 'the cost of other work that did not start', options: {notRunCost: 0.5}, cost: 0.5},
		{name: 'its own cost', options: {notRunCost: 0.5, notOfferedCost: 0}, cost: 0},
	]) {
		it(`charges ${name} for a call of which nothing was sent`, () => {
			const budget = createRetryBudget(options);
			const answer = budget.takeRetry(failure({bytesOffered: 0, outcome: 'not-run'}), 0, half);
			assert.equal(answer.kind === 'retry' && answer.cost, cost);
		});
	}

	it('charges the cost of work that did not start for a call that a server refused', () => {
		const answer = createRetryBudget({notRunCost: 0.5, notOfferedCost: 0}).takeRetry(failure({outcome: 'not-run'}), 0, half);
		assert.equal(answer.kind === 'retry' && answer.cost, 0.5);
	});

	it('prevents retry storms: when everything fails, retries are few however many requests fail', () => {
		const budget = createRetryBudget({capacity: 10, perSecond: 1});
		let retries = 0;
		for (let i = 0; i < 10_000; i++) {
			retries += budget.takeRetry(failure({deadline: 1e9}), i, half).kind === 'retry' ? 1 : 0;
		}

		assert.ok(retries <= 20, `${retries} retries`);
	});

	it('never retries unrepeatable work of unknown outcome, past the deadline, or beyond what was earned (property)', () => {
		const step = fc.record({
			isSuccess: fc.boolean(), repeatable: fc.boolean(), outcome: fc.constantFrom('not-run' as const, 'may-have-run' as const, 'ran' as const),
			attempt: fc.integer({min: 1, max: 4}), elapsed: fc.nat(50), patience: fc.nat(600),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
			const budget = createRetryBudget({capacity: 3, perSuccess: 0.5, perSecond: 0});
			let paid = 3;
			let now = 0;
			for (const {isSuccess, patience, elapsed, ...rest} of steps) {
				now += elapsed;
				if (isSuccess) {
					budget.noteSuccess(now);
					paid += 0.5;
					continue;
				}

				const failed = failure({...rest, deadline: now + patience});
				const answer = budget.takeRetry(failed, now, half);
				if (answer.kind === 'retry') {
					paid -= rest.outcome === 'not-run' ? 0.25 : 1;
					assert.ok(rest.outcome === 'not-run' || (rest.outcome === 'may-have-run' && rest.repeatable));
					assert.ok(now + answer.delayMs + failed.expectedMs <= failed.deadline);
				}

				assert.ok(paid >= 0);
			}
		}));
	});

	/* Guards against a budget that spends retries which the previous process may already have spent. */
	describe('while only earned retries may be spent', () => {
		const heldUntil = 1000;
		const isEarnedOnly = (now: number): boolean => now < heldUntil;
		const late = failure({deadline: 10_000});

		function earn(budget: RetryBudget, successes: number): void {
			for (let i = 0; i < successes; i++) {
				budget.noteSuccess(0);
			}
		}

		it('has the retries earned by successes, less those spent, up to its capacity', () => {
			const budget = createRetryBudget({
				capacity: 3, perSuccess: 0.5, perSecond: 0, isEarnedOnly,
			});
			assert.equal(budget.available(0), 0);
			assert.equal(budget.findNoRetryReason(late, 0), 'budget');
			earn(budget, 3);
			assert.equal(budget.available(0), 1.5);
			assert.equal(budget.takeRetry(late, 0, half).kind, 'retry');
			assert.equal(budget.available(0), 0.5);
			assert.equal(budget.takeRetry(late, 0, half).kind, 'give-up');
			earn(budget, 20);
			assert.equal(budget.available(0), 3);
		});

		it('has the retries earned by time', () => {
			const budget = createRetryBudget({capacity: 3, perSecond: 2, isEarnedOnly});
			assert.equal(budget.available(0), 0);
			assert.equal(budget.available(500), 1);
		});

		it('has no more than a capacity that has shrunk', () => {
			let capacity = 3;
			const budget = createRetryBudget({
				toCapacity: () => capacity, perSuccess: 0.5, perSecond: 0, isEarnedOnly,
			});
			earn(budget, 6);
			capacity = 1;
			assert.equal(budget.available(0), 1);
		});

		it('has its full capacity after that time, less the retries spent in the meantime', () => {
			const budget = createRetryBudget({
				capacity: 3, perSuccess: 0.5, perSecond: 0, isEarnedOnly,
			});
			earn(budget, 2);
			assert.equal(budget.takeExtraCall(0), true);
			assert.equal(budget.available(heldUntil - 1), 0);
			assert.equal(budget.available(heldUntil), 2);
		});
	});

	describe('that shares what it can\'t keep', () => {
		const notRun = failure({outcome: 'not-run'});

		function createSharing(isEarnedOnly: (now: number) => boolean = () => false) {
			const surplus: Array<[number, number]> = [];
			const budget = createRetryBudget({
				capacity: 2, perSecond: 0, perSuccess: 0.5, isEarnedOnly, onSurplus(retries, now) {
					surplus.push([retries, now]);
				},
			});
			return {budget, surplus};
		}

		it('passes on what a success earns while it is full', () => {
			const {budget, surplus} = createSharing();
			budget.noteSuccess(1);
			budget.noteSuccess(2);
			assert.deepEqual(surplus, [[0.5, 1], [0.5, 2]]);
			assert.equal(budget.available(2), 2);
		});

		it('fills itself first, and passes on the rest', () => {
			const {budget, surplus} = createSharing();
			budget.takeRetry(notRun, 0, half);
			budget.noteSuccess(1);
			assert.deepEqual(surplus, [[0.25, 1]]);
			budget.takeRetry(failure(), 2, half);
			budget.noteSuccess(3);
			budget.noteSuccess(4);
			assert.equal(surplus.length, 1, 'nothing is left when it is just full again');
			assert.equal(budget.available(4), 2);
		});

		/* Guards against retries that are spent twice: by this process and, passed on, by others. */
		it('passes on nothing while it may spend what it earned', () => {
			const {budget, surplus} = createSharing(now => now < 10);
			budget.noteSuccess(9);
			assert.deepEqual(surplus, []);
			budget.noteSuccess(10);
			assert.deepEqual(surplus, [[0.5, 10]]);
		});
	});

	describe('with a retry that others have paid', () => {
		it('grants it although the bucket is empty, and spends nothing', () => {
			const budget = createRetryBudget({capacity: 0, perSecond: 0});
			assert.equal(budget.findNoRetryReason(failure(), 0), 'budget');
			const answer = budget.takeRetry(failure(), 0, half, {isPaid: true});
			assert.deepEqual([answer.kind, answer.kind === 'retry' && answer.cost], ['retry', 0]);
			const full = createRetryBudget({capacity: 2, perSecond: 0});
			full.takeRetry(failure(), 0, half, {isPaid: true});
			assert.equal(full.available(0), 2);
		});

		for (const [reason, failed] of [['not-repeatable', failure({repeatable: false})], ['attempts', failure({attempt: 3})], ['deadline', failure({expectedMs: 1001})]] as const) {
			it(`does not grant it against another reason: ${reason}`, () => {
				const answer = createRetryBudget({capacity: 0, perSecond: 0}).takeRetry(failed, 0, half, {isPaid: true});
				assert.deepEqual(answer, {kind: 'give-up', reason});
			});
		}
	});

	it('states the cost of another attempt', () => {
		const budget = createRetryBudget({notRunCost: 0.3, notOfferedCost: 0.1});
		assert.deepEqual([failure(), failure({outcome: 'not-run'}), failure({outcome: 'not-run', bytesOffered: 0})].map(failed => budget.toCost(failed)), [1, 0.3, 0.1]);
	});
});
