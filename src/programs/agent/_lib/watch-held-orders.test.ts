import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Log} from '../../../adapters/log/index.js';
import {type HeldNotice} from '../../../domain/to-held-notices/index.js';
import {watchHeldOrders} from './watch-held-orders.js';

const notice: HeldNotice = {
	pool: 'summaries', zone: 'a', reason: 'last-copy', servers: ['d1'], count: 1, needsStaff: true, problem: 'p', remedy: 'r',
};

describe('watchHeld', () => {
	it('warns once of orders that are stuck, and again when they get stuck after a change', () => {
		const warnings: string[] = [];
		const held = watchHeldOrders({
			warn(message: string) {
				warnings.push(message);
			},
		} as unknown as Log);
		for (const minute of [0, 4, 6, 8]) {
			held.note([notice], minute * 60_000);
		}

		assert.deepEqual(warnings, ['orders wait']);
		assert.deepEqual(held.list(480_000).map(({waitsForMs, isStuck}) => [waitsForMs, isStuck]), [[480_000, true]]);
		held.note([], 500_000);
		assert.deepEqual(held.list(500_000), []);
		held.note([notice], 510_000);
		held.note([notice], 900_000);
		assert.equal(warnings.length, 2);
	});
});
