import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type RuleThen} from '../../ports/config.js';
import {toEarlierWaitMs, toWaitPolicy, type WaitPolicyInput} from './index.js';

const then: RuleThen = {
	pool: 'model',
	class: 'quick',
	repeatable: false,
	target: {firstTokenMs: 900, perTokenMs: 300, completeMs: 14_000},
	queueLimit: 100,
	versions: [],
	adapter: undefined,
	relay: {
		attempts: 1, isResumable: false, patienceMs: 3600, split: [],
	},
};

const input: WaitPolicyInput = {
	then, poolKind: 'model', receivedAt: 1000, deadline: 15_000, callerTimeoutMs: 14_000, minRetryAfterMs: 2500, hasPartialAnswer: false,
};

/*
 * Guards against late answers after a burst of twice the decode memory. If requests
 * waited as long as their callers do, those of the burst and those after it would all
 * be served late; so a request waits only while it can be in time.
 */
describe('toWaitPolicy', () => {
	const {relay: _, ...ownThen} = then;
	const cases: ReadonlyArray<{name: string; over: Partial<WaitPolicyInput>; now: number; expected: ReturnType<typeof toWaitPolicy>}> = [
		{
			name: 'a new request for a model waits while it can be in time', over: {}, now: 1000, expected: {class: 'quick', latestStart: 1900, isSingleTry: false},
		},
		{
			name: 'a request that can no longer be in time asks once, after the others', over: {}, now: 1900, expected: {class: 'batch', latestStart: 15_000, isSingleTry: true},
		},
		{
			name: 'a retry asks once', over: {callerTimeoutMs: 11_000, deadline: 12_000}, now: 1000, expected: {class: 'batch', latestStart: 12_000, isSingleTry: true},
		},
		{
			name: 'a request whose caller started with a slightly shorter timeout counts as new',
			over: {callerTimeoutMs: 11_900, deadline: 12_900},
			now: 1000,
			expected: {class: 'quick', latestStart: 1900, isSingleTry: false},
		},
		{
			name: 'a request without a caller timeout counts as new', over: {callerTimeoutMs: undefined}, now: 1000, expected: {class: 'quick', latestStart: 1900, isSingleTry: false},
		},
		{
			name: 'no wait exceeds the deadline', over: {deadline: 1400}, now: 1000, expected: {class: 'quick', latestStart: 1400, isSingleTry: false},
		},
		{
			name: 'a stream that is resumed on another server waits for most of its caller\'s patience',
			over: {hasPartialAnswer: true},
			now: 6000,
			expected: {class: 'quick', latestStart: 8880, isSingleTry: false},
		},
		{
			name: 'a request for a plain service waits for most of its caller\'s patience', over: {poolKind: 'plain'}, now: 1000, expected: {class: 'quick', latestStart: 3880, isSingleTry: false},
		},
		{
			name: 'a request without a relay policy waits for its first-token target, counted from now',
			over: {then: ownThen, poolKind: 'plain'},
			now: 2000,
			expected: {class: 'quick', latestStart: 2900, isSingleTry: false},
		},
	];
	for (const {name, over, now, expected} of cases) {
		it(name, () => {
			assert.deepEqual(toWaitPolicy({...input, ...over}, now), expected);
		});
	}
});

describe('toEarlierWaitMs', () => {
	it('is the time that a caller has used up of its rule\'s target, and never negative', () => {
		assert.deepEqual([14_000, 11_500, 20_000, undefined].map(callerTimeoutMs => toEarlierWaitMs({then, callerTimeoutMs})), [0, 2500, 0, 0]);
	});
});
