import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {createTokenBucket} from './index.js';

const rate = {perSecond: 10, burst: 20};

describe('createTokenBucket', () => {
	it('fills at the rate up to the burst', () => {
		const bucket = createTokenBucket(0, 0);
		assert.equal(bucket.level(rate, 1000), 10);
		assert.equal(bucket.level(rate, 60_000), 20);
	});

	it('goes into debt, and says when the debt is repaid', () => {
		const bucket = createTokenBucket(5, 0);
		bucket.spend(15, rate, 0);
		assert.equal(bucket.waitMs(0, rate, 0), 1001);
		assert.ok(bucket.level(rate, 1001) > 0);
	});

	it('takes units back, up to the burst', () => {
		const bucket = createTokenBucket(0, 0);
		bucket.spend(-50, rate, 0);
		assert.equal(bucket.level(rate, 0), 20);
	});

	it('limits a debt', () => {
		const bucket = createTokenBucket(0, 0);
		bucket.spend(1e9, rate, 0);
		assert.equal(bucket.waitMs(0, rate, 0), 4001);
	});

	it('applies a lowered limit at once', () => {
		const bucket = createTokenBucket(20, 0);
		assert.equal(bucket.level({perSecond: 1, burst: 2}, 0), 2);
	});

	it('never grants more than burst, rate and one request in any time (property)', () => {
		const uses = fc.array(fc.record({afterMs: fc.integer({min: 0, max: 3000}), cost: fc.integer({min: 1, max: 30})}), {minLength: 1, maxLength: 60});
		fc.assert(fc.property(uses, list => {
			const bucket = createTokenBucket(rate.burst, 0);
			let now = 0;
			let granted = 0;
			for (const {afterMs, cost} of list) {
				now += afterMs;
				if (bucket.level(rate, now) > 0) {
					bucket.spend(cost, rate, now);
					granted += cost;
				}
			}

			assert.ok(granted <= rate.burst + (rate.perSecond * now / 1000) + 30);
		}));
	});
});
