import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRereadSchedule, type ValueVerdict} from './create-reread-schedule.js';

const second = 1000;

/** Waits after each time that a value was judged. */
function toWaits(verdicts: readonly ValueVerdict[]): readonly number[] {
	const reread = createRereadSchedule(() => 0);
	return verdicts.map(taken => {
		reread.note(taken);
		return reread.limit(Infinity) / second;
	});
}

describe('createReread', () => {
	it('doubles the delay while a value is refused, up to five minutes', () => {
		assert.deepEqual(toWaits(Array.from({length: 11}, (): ValueVerdict => 'refused')), [1, 2, 4, 8, 16, 32, 64, 128, 256, 300, 300]);
	});

	it('reads a value that lacks parts again within ten seconds, since staff publish the parts next', () => {
		assert.deepEqual(toWaits(Array.from({length: 6}, (): ValueVerdict => 'unfinished')), [1, 2, 4, 8, 10, 10]);
	});

	it('waits for the next revision once the value is accepted', () => {
		assert.deepEqual(toWaits(['refused', 'taken', 'refused']), [1, Infinity, 1]);
	});

	it('is due when the delay has passed and not before', () => {
		let at = 0;
		const reread = createRereadSchedule(() => at);
		assert.equal(reread.isDue(), false);
		reread.note('unfinished');
		at = 999;
		assert.equal(reread.isDue(), false);
		at = 1000;
		assert.equal(reread.isDue(), true);
	});
});
