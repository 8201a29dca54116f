import {type Milliseconds} from '../../../ports/clock.js';

export type TickerOptions = {
	tick: () => void;
	/** Whether anything is under way that a tick may move on. */
	isBusy: () => boolean;
	/** Time between two ticks while something is. */
	busyMs: Milliseconds;
	/** Time between two ticks otherwise. */
	idleMs: Milliseconds;
};

export type Ticker = {
	/** Something was begun: the next tick comes as while busy. */
	wake: () => void;
	stop: () => void;
};

/**
 * Calls a function again and again, seldom while nothing is under way. Most hosts
 * of a large fleet have nothing to do most of the time, and fifty empty ticks a
 * second were half of what an idle one took of its processor.
 *
 * @param options - What to call, and how often.
 * @returns The ticker.
 */
export function startTicker({tick, isBusy, busyMs, idleMs}: TickerOptions): Ticker {
	let timer: NodeJS.Timeout | undefined;
	let isIdle = false;

	function schedule(): void {
		isIdle = !isBusy();
		timer = setTimeout(run, isIdle ? idleMs : busyMs);
	}

	function run(): void {
		tick();
		schedule();
	}

	schedule();
	return {
		wake() {
			if (!isIdle) {
				return;
			}

			isIdle = false;
			clearTimeout(timer);
			timer = setTimeout(run, busyMs);
		},
		stop() {
			isIdle = false;
			clearTimeout(timer);
		},
	};
}
