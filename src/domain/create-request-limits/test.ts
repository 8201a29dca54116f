import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRequestLimits} from './index.js';

describe('createRequestLimits', () => {
	it('keeps what the answer to the latest call states, whichever arrives last', () => {
		const limits = createRequestLimits();
		assert.equal(limits.noteAnswer('a', 4.8, 100), true);
		assert.equal(limits.noteAnswer('a', 'none', 50), false);
		assert.equal(limits.noteAnswer('a', 4.8, 200), false);
		assert.equal(limits.toPerSecond('a', 200), 4.8);
		assert.equal(limits.toAgeMs('a', 250), 50);
		assert.equal(limits.toAgeMs('b', 250), undefined);
		assert.equal(limits.noteAnswer('a', 1.9, 300), true);
		assert.equal(limits.toPerSecond('a', 300), 1.9);
	});

	it('ends a limit with an answer that states none, and keeps it with one that can\'t be read', () => {
		const limits = createRequestLimits();
		limits.noteAnswer('a', 4.8, 100);
		assert.equal(limits.noteAnswer('a', 'unreadable', 200), false);
		assert.equal(limits.toPerSecond('a', 200), 4.8);
		assert.equal(limits.noteAnswer('a', 'none', 300), true);
		assert.equal(limits.toPerSecond('a', 300), undefined);
	});

	it('knows no limit of servers that never stated one', () => {
		const limits = createRequestLimits();
		assert.equal(limits.noteAnswer('a', 'none', 100), false);
		assert.deepEqual(limits.toShared(100), []);
	});

	/* Guards against a server that is never called again, so that no answer can end its limit. */
	it('keeps a rate at which a limit of zero can end', () => {
		const limits = createRequestLimits();
		limits.noteAnswer('a', 0, 100);
		assert.equal(limits.toPerSecond('a', 100), 0.2);
	});

	it('forgets a limit that no answer repeats', () => {
		const limits = createRequestLimits();
		limits.noteAnswer('a', 4.8, 100);
		assert.equal(limits.toPerSecond('a', 60_000), 4.8);
		assert.equal(limits.toPerSecond('a', 60_200), undefined);
		assert.deepEqual(limits.toShared(60_200), []);
	});

	it('learns limits and their ends from other hosts', () => {
		const [told, teller] = [createRequestLimits(), createRequestLimits()];
		teller.noteAnswer('a', 4.8, 100);
		assert.deepEqual(told.merge(teller.toShared(150), 150), ['a']);
		assert.deepEqual(told.merge(teller.toShared(160), 160), []);
		assert.equal(told.toPerSecond('a', 160), 4.8);
		teller.noteAnswer('a', 'none', 200);
		assert.deepEqual(teller.toShared(250), [{server: 'a', perSecond: undefined, ageMs: 50}]);
		told.merge(teller.toShared(250), 250);
		assert.equal(told.toPerSecond('a', 250), undefined);
	});

	it('tells the eight latest', () => {
		const limits = createRequestLimits();
		for (let n = 0; n < 10; n++) {
			limits.noteAnswer(`s-${n}`, 1, n);
		}

		assert.deepEqual(limits.toShared(10).map(({server}) => server), [9, 8, 7, 6, 5, 4, 3, 2].map(n => `s-${n}`));
	});
});
