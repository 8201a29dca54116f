/** Virtual time that a test advances: sleepers wake in the order of their time, and the effects of one settle before the next wakes. */
import {setImmediate as settle} from 'node:timers/promises';
import {type Clock, type Milliseconds} from '../../../../ports/clock.js';

export type VirtualTime = {
	clock: Clock;
	/** Resolves after the given time, or once the signal aborts. */
	sleep: (ms: Milliseconds, signal: AbortSignal) => Promise<void>;
	/** Advances time to the given moment. */
	runUntil: (at: Milliseconds) => Promise<void>;
	/** Advances time without waking sleepers, as in a suspended process; what was due meanwhile happens next. */
	suspend: (ms: Milliseconds) => void;
};

type Sleeper = {at: Milliseconds; wake: () => void};

/** Creates a virtual time, which stands still until it is advanced. */
export function createVirtualTime(): VirtualTime {
	let now = 0;
	let sleepers: Sleeper[] = [];

	function takeNext(until: Milliseconds): Sleeper | undefined {
		let next: Sleeper | undefined;
		for (const sleeper of sleepers) {
			if (sleeper.at <= until && (next === undefined || sleeper.at < next.at)) {
				next = sleeper;
			}
		}

		sleepers = sleepers.filter(sleeper => sleeper !== next);
		return next;
	}

	return {
		clock: {now: () => now, wallNow: () => now},
		async sleep(ms, signal) {
			if (signal.aborted) {
				return;
			}

			await new Promise<void>(resolve => {
				const wake = () => {
					signal.removeEventListener('abort', wake);
					resolve();
				};

				sleepers.push({at: now + ms, wake});
				signal.addEventListener('abort', wake);
			});
		},
		async runUntil(at) {
			await settle();
			for (let next = takeNext(at); next !== undefined; next = takeNext(at)) {
				now = Math.max(now, next.at);
				next.wake();
				await settle();
			}

			now = Math.max(now, at);
		},
		suspend(ms) {
			now += ms;
		},
	};
}
