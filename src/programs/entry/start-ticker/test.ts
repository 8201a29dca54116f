import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import {startTicker} from './index.js';

/** Step of the mocked clock; a timer that is set in a step fires in a later one. */
const stepMs = 10;

function start() {
	let ticks = 0;
	const state = {isBusy: false};
	const ticker = startTicker({
		tick() {
			ticks++;
		},
		isBusy: () => state.isBusy,
		busyMs: 20,
		idleMs: 200,
	});
	return {
		...ticker,
		state,
		/** Advances the clock, and returns the number of ticks within that time. */
		count(ms: number): number {
			const before = ticks;
			for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
				mock.timers.tick(stepMs);
			}

			return ticks - before;
		},
	};
}

describe('startTicker', () => {
	it('ticks at the idle interval while idle, and at the busy interval while busy', t => {
		mock.timers.enable({apis: ['setTimeout']});
		t.after(() => {
			mock.timers.reset();
		});
		const ticker = start();
		assert.equal(ticker.count(1000), 5);
		ticker.state.isBusy = true;
		ticker.wake();
		assert.equal(ticker.count(200), 10);
		ticker.state.isBusy = false;
		assert.equal(ticker.count(1020), 6);
		ticker.stop();
		assert.equal(ticker.count(1000), 0);
	});

	it('does not postpone a tick when it is woken repeatedly', t => {
		mock.timers.enable({apis: ['setTimeout']});
		t.after(() => {
			mock.timers.reset();
		});
		const ticker = start();
		ticker.state.isBusy = true;
		let ticks = 0;
		for (let i = 0; i < 10; i++) {
			ticker.wake();
			ticks += ticker.count(10);
		}

		assert.equal(ticks, 5);
		ticker.stop();
		ticker.wake();
		assert.equal(ticker.count(1000), 0);
	});
});
