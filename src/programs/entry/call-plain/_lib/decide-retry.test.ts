import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRetryBudget} from '../../../../domain/create-retry-budget/index.js';
import {type PlainFault} from '../../send-plain/index.js';
import {
	decideRetry, findNoRetryReason, isRepeatable, mayHaveStarted,
} from './decide-retry.js';
import {type PlainRun} from './types.js';

const refused: PlainFault = {kind: 'refused', reason: 'full', message: 'status 503'};
const broken: PlainFault = {kind: 'broken', message: 'reset'};

type Case = {
	/** Retries in the budget of this host. */
	own: number;
	/** Retries that the hosts share; without it they share none. */
	shared?: number;
	/** Whether the cache of the failed attempt is kept. */
	kept?: boolean;
	isDecodeOnly?: boolean;
	/** Number of calls so far. */
	tried?: number;
	isRepeatable?: boolean;
	/** Number of calls that may have run. */
	runs?: number;
	/** Whether the body was sent and can't be sent again. */
	isTaken?: boolean;
};

/** Creates a request to a model pool with one failed call, and the shared retries it may use. */
function createRun({own, shared, kept = false, isDecodeOnly = false, tried = 1, isRepeatable = true, runs = 0, isTaken = false}: Case) {
	const asked: number[] = [];
	const decisions: Array<[string, number]> = [];
	const budget = createRetryBudget({
		capacity: own, perSecond: 0, notRunCost: 1, notOfferedCost: 0,
	});
	let left = shared ?? 0;
	const run = {
		route: {pool: {name: 'model', kind: 'model'}, rule: {then: {repeatable: isRepeatable, relay: {attempts: 2}}}},
		exchange: {method: 'POST'},
		body: {isTaken: () => isTaken, fault: () => undefined},
		log: {info: () => undefined},
		tried: Array.from({length: tried}, (_, i) => ({server: `s${i}`, zone: 'a'})),
		runs,
		deadline: 10_000,
		isDecodeOnly,
		kept: kept ? {} : undefined,
		ctx: {
			calls: {caches: {}},
			services: {
				clock: {now: () => 0},
				random: () => 0,
				toRetryBudget: () => budget,
				runMetrics: {
					countRetryDecision(decision: string, cost: number) {
						decisions.push([decision, cost]);
					},
				},
				...(shared !== undefined && {
					sharedRetries: {
						async take(_: string, retries: number) {
							asked.push(retries);
							const isGranted = left >= retries;
							left -= isGranted ? retries : 0;
							return isGranted;
						},
					},
				}),
			},
		},
	} as unknown as PlainRun;
	return {run, asked, decisions};
}

type Expected = {
	name: string;
	given: Case;
	fault?: PlainFault;
	hasRun?: boolean;
	kind: 'retry' | 'give-up';
	/** Retries asked for, one number a question. */
	asked: number[];
	/** Reason and cost that are counted, if the budget was asked. */
	decision: [string, number] | undefined;
	isDecodeOnly?: boolean;
};

describe('decideRetry', () => {
	const cases: readonly Expected[] = [
		{
			name: 'pays from the budget of this host first', given: {own: 2, shared: 9}, kind: 'retry', asked: [], decision: ['granted', 2],
		},
		{
			name: 'asks for a call and its prefill once the own budget is spent', given: {own: 0, shared: 9}, kind: 'retry', asked: [2], decision: ['granted-shared', 2],
		},
		{
			name: 'asks for the call alone if the cache is kept', given: {own: 0, shared: 9, kept: true}, kind: 'retry', asked: [1], decision: ['granted-shared', 1],
		},
		{
			name: 'asks for the call alone if the prefill failed', given: {own: 0, shared: 9}, hasRun: false, kind: 'retry', asked: [1], decision: ['granted-shared', 1],
		},
		{
			name: 'costs nothing after a host that did not run the request', given: {own: 0}, fault: {kind: 'not-run', message: 'the other host answered 503'}, hasRun: false, kind: 'retry', asked: [], decision: ['granted', 0],
		},
		{
			name: 'gives up if the shared part is spent too', given: {own: 0, shared: 1}, kind: 'give-up', asked: [2], decision: ['budget', 0],
		},
		{
			name: 'gives up where hosts share nothing', given: {own: 0}, kind: 'give-up', asked: [], decision: ['budget', 0],
		},
		{
			name: 'asks for the prefill that the own budget can\'t pay', given: {own: 1, shared: 9}, kind: 'retry', asked: [1], decision: ['granted', 2],
		},
		{
			name: 'lets the decode server do a prefill that nobody can pay', given: {own: 1, shared: 0}, kind: 'retry', asked: [1], decision: ['granted', 1], isDecodeOnly: true,
		},
		{
			name: 'uses a prefill server again once that is paid', given: {own: 0, shared: 9, isDecodeOnly: true}, kind: 'retry', asked: [2], decision: ['granted-shared', 2],
		},
		{
			name: 'gives up without a question if the body can\'t be sent again', given: {own: 9, shared: 9, isTaken: true}, kind: 'give-up', asked: [], decision: undefined,
		},
		{
			name: 'counts runs, not calls, where the call may have run', given: {
				own: 9, shared: 9, tried: 3, runs: 1,
			}, fault: broken, kind: 'retry', asked: [], decision: ['granted', 2],
		},
		{
			name: 'asks for nothing after the last allowed run', given: {
				own: 9, shared: 9, runs: 2,
			}, fault: broken, kind: 'give-up', asked: [], decision: ['attempts', 0],
		},
		{
			name: 'asks for nothing after the last allowed call', given: {own: 0, shared: 9, tried: 3}, kind: 'give-up', asked: [], decision: ['attempts', 0],
		},
		{
			name: 'asks for nothing if the request may have run and is not repeatable',
			given: {own: 0, shared: 9, isRepeatable: false},
			fault: broken,
			kind: 'give-up',
			asked: [],
			decision: ['not-repeatable', 0],
		},
	];
	for (const {name, given, fault = refused, hasRun = true, kind, asked, decision, isDecodeOnly = false} of cases) {
		it(name, async () => {
			const played = createRun(given);
			const decided = await decideRetry(played.run, fault, hasRun);
			assert.equal(decided.kind, kind);
			assert.deepEqual(played.asked, asked);
			assert.deepEqual(played.decisions, decision === undefined ? [] : [decision]);
			assert.equal(played.run.isDecodeOnly, isDecodeOnly);
		});
	}
});

describe('mayHaveStarted', () => {
	const cases: ReadonlyArray<[PlainFault, boolean]> = [
		[refused, false],
		[broken, true],
		[{kind: 'unreachable', message: ''}, false],
		[{kind: 'not-run', message: ''}, false],
		[{kind: 'aborted', message: ''}, true],
		[{kind: 'aborted', message: '', isUnsent: true}, false],
		[{kind: 'failed-answer', message: ''}, true],
		[{kind: 'invalid', message: ''}, true],
	];
	for (const [fault, isStarted] of cases) {
		it(`is ${isStarted} after ${JSON.stringify(fault)}`, () => {
			assert.equal(mayHaveStarted(fault), isStarted);
		});
	}
});

describe('isRepeatable', () => {
	const cases: ReadonlyArray<[string, {method: string; repeatable: boolean; hasRelay: boolean}, boolean]> = [
		['a rule that says so', {method: 'POST', repeatable: true, hasRelay: true}, true],
		['a safe method without a relay policy', {method: 'GET', repeatable: false, hasRelay: false}, true],
		['another safe method', {method: 'HEAD', repeatable: false, hasRelay: false}, true],
		['the third safe method', {method: 'OPTIONS', repeatable: false, hasRelay: false}, true],
		['a safe method with a relay policy', {method: 'GET', repeatable: false, hasRelay: true}, false],
		['an unsafe method', {method: 'POST', repeatable: false, hasRelay: false}, false],
	];
	for (const [name, {method, repeatable, hasRelay}, expected] of cases) {
		it(`is ${expected} for ${name}`, () => {
			const run = {exchange: {method}, route: {rule: {then: {repeatable, relay: hasRelay ? {attempts: 1} : undefined}}}} as unknown as PlainRun;
			assert.equal(isRepeatable(run), expected);
		});
	}
});

describe('findNoRetryReason', () => {
	it('finds none while the budget of this host holds a retry', () => {
		assert.equal(findNoRetryReason(createRun({own: 1}).run), undefined);
	});

	it('looks at the budget of this host alone, as an answer can\'t wait for others', () => {
		const {run, asked} = createRun({own: 0, shared: 9});
		assert.equal(findNoRetryReason(run), 'budget');
		assert.deepEqual(asked, []);
	});

	it('counts the current call as a run', () => {
		const {run} = createRun({own: 9});
		run.runs = 1;
		assert.equal(findNoRetryReason(run), 'attempts');
	});

	it('does not repeat what may run once, or has no body to send again', () => {
		assert.equal(findNoRetryReason(createRun({own: 9, isRepeatable: false}).run), 'not-repeatable');
		const {run} = createRun({own: 9});
		assert.equal(findNoRetryReason({...run, body: {...run.body, isTaken: () => true}}), 'not-repeatable');
	});

	it('leaves a service\'s answer to it without a relay policy', () => {
		const {run} = createRun({own: 9});
		const {rule} = run.route;
		assert.equal(findNoRetryReason({...run, route: {...run.route, rule: {...rule, then: {...rule.then, relay: undefined}}}}), 'own-answer');
	});
});
