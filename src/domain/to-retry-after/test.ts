import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toRetryAfter} from './index.js';

describe('toRetryAfter', () => {
	const cases = [
		{name: 'the time to drain the requests ahead', input: {ahead: 30, drainPerSecond: 10}, expected: 3000},
		{name: 'whole seconds, rounded up', input: {ahead: 31, drainPerSecond: 10}, expected: 4000},
		{name: 'at least the lower bound', input: {ahead: 0, drainPerSecond: 10}, expected: 1000},
		{name: 'at most the upper bound', input: {ahead: 1e6, drainPerSecond: 1}, expected: 60_000},
		{name: 'five seconds when no drain rate is known', input: {ahead: 1, drainPerSecond: 0}, expected: 5000},
	];
	for (const {name, input, expected} of cases) {
		it(`gives ${name}`, () => {
			assert.equal(toRetryAfter(input), expected);
		});
	}
});
