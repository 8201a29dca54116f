import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {compareEras, type EraOrder} from './index.js';

describe('compareEras', () => {
	const cases: ReadonlyArray<[answered: number | undefined, known: number | undefined, order: EraOrder]> = [
		[3, 3, 'same'],
		[4, 3, 'newer'],
		[9, 3, 'newer'],
		[2, 3, 'older'],
		[0, undefined, 'newer'],
		[undefined, 3, 'same'],
		[undefined, undefined, 'same'],
	];
	for (const [answered, known, order] of cases) {
		it(`returns ${order} if the answer names era ${String(answered)} and the newest known era is ${String(known)}`, () => {
			assert.equal(compareEras(answered, known), order);
		});
	}
});
