import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import {watchPauses} from './index.js';

/** Runs the ticks at the given times, and returns what was reported. */
function play(tickedAt: readonly number[]): {pauses: number[]; delays: number[]} {
	const pauses: number[] = [];
	const delays: number[] = [];
	let now = 0;
	mock.timers.enable({apis: ['setInterval']});
	const stop = watchPauses({
		now: () => now,
		limitMs: 2000,
		onWake(gapMs) {
			pauses.push(gapMs);
		},
		onLate(delayMs) {
			delays.push(delayMs);
		},
	});
	for (const at of tickedAt) {
		now = at;
		mock.timers.tick(250);
	}

	stop();
	mock.timers.reset();
	return {pauses, delays};
}

describe('watchPauses', () => {
	it('reports nothing while ticks come in time', () => {
		assert.deepEqual(play([250, 520, 780]), {pauses: [], delays: []});
	});

	it('reports by how much a tick was late', () => {
		assert.deepEqual(play([250, 900, 1150]), {pauses: [], delays: [400]});
	});

	it('reports a pause, which is a delay too', () => {
		assert.deepEqual(play([250, 3250]), {pauses: [3000], delays: [2750]});
	});
});
