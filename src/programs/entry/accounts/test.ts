import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createAccounts, maxUnresolvedStages} from './index.js';

const createFixture = () => createAccounts({limit: 100, now: () => 0, wallNow: () => 0});

describe('createAccounts', () => {
	it('computes expensive details once, and only when the account is read', () => {
		const accounts = createFixture();
		let count = 0;
		accounts.open('r').addLazyStage('placed', {attempt: 1}, () => ({count: ++count}));
		assert.equal(count, 0);
		accounts.findAccount('r');
		assert.deepEqual(accounts.findAccount('r')?.stages[0]?.details, {attempt: 1, count: 1});
	});

	it('drops details that were not read in time, and keeps those that were computed', () => {
		const accounts = createFixture();
		const failed = accounts.open('failed');
		failed.addLazyStage('placed', {attempt: 1}, () => ({why: 'worse'}));
		failed.resolveDetails();
		accounts.open('old').addLazyStage('placed', {attempt: 1}, () => ({why: 'worse'}));
		for (let i = 0; i < maxUnresolvedStages; i++) {
			accounts.open(`r${i}`).addLazyStage('placed', {attempt: 1}, () => ({why: 'worse'}));
		}

		const toDetails = (id: string) => accounts.findAccount(id)?.stages[0]?.details;
		assert.deepEqual(toDetails('failed'), {attempt: 1, why: 'worse'});
		assert.deepEqual(toDetails('old'), {attempt: 1});
		assert.deepEqual(toDetails('r0'), {attempt: 1, why: 'worse'});
	});

	it('drops the oldest request at its limit', () => {
		const accounts = createAccounts({limit: 1, now: () => 0, wallNow: () => 0});
		accounts.open('a');
		accounts.open('b');
		assert.equal(accounts.findAccount('a'), undefined);
		assert.equal(accounts.size(), 1);
	});
});
