import {type Milliseconds} from '../../../ports/clock.js';

export type TickerOptions = {
	tick: () => void;
	/** Whether any work is in progress that a tick may advance. */
	isBusy: () => boolean;
	/** Interval between ticks while busy. */
	busyMs: Milliseconds;
	/** Interval between ticks while idle. */
	idleMs: Milliseconds;
};

export type Ticker = {
	/** Schedules the next tick at the busy interval, because work has begun. */
	wake: () => void;
	stop: () => void;
};

/**
 * Starts a ticker that calls a function repeatedly, at a longer interval while
 * idle. Most hosts of a large fleet are idle most of the time, and fifty empty
 * ticks a second made up half of the processor time of an idle host.
 *
 * @param options - Function to call, and its intervals in milliseconds.
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
