import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isOrderAllowed} from './index.js';

describe('isOrderAllowed', () => {
	const fresh = {
		isCurrent: true, isOvertaken: false, confirmedAgeMs: 100, reportAgeMs: 100, sinceDecisionMs: 1,
	};
	const rows: Array<[string, Partial<typeof fresh>, boolean]> = [
		['a fresh view and decision', {}, true],
		['a view not confirmed recently', {confirmedAgeMs: 60_000}, false],
		['a view never confirmed', {confirmedAgeMs: Infinity}, false],
		['a pause between decision and sending', {sinceDecisionMs: 5000}, false],
		['a stale report', {reportAgeMs: 60_000}, false],
		['a configuration that is no longer in force', {isCurrent: false}, false],
		['a server that accepted an order of a later edition', {isOvertaken: true}, false],
	];
	for (const [name, change, expected] of rows) {
		it(`${expected ? 'allows' : 'refuses'}: ${name}`, () => {
			assert.equal(isOrderAllowed({...fresh, ...change}), expected);
		});
	}
});
