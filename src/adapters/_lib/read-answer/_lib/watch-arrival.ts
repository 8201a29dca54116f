/** Ends a call whose answer arrives too slowly. */
import {type Milliseconds} from '../../../../ports/clock.js';
import {toArrivalDeadline, type Arrival, type ArrivalLimits} from '../../../../domain/to-arrival-deadline/index.js';

export type ArrivalWatch = {
	noteHead: () => void;
	noteBytes: (count: number) => void;
	stop: () => void;
};

/**
 * Starts the watch of one answer, together with its call.
 *
 * @param limits - How slowly the answer may arrive.
 * @param onLate - Called at most once, with the time for which nothing had arrived.
 * @param now - Returns monotonic milliseconds.
 * @returns Functions that note what arrives, and stop the watch.
 */
export function watchArrival(limits: ArrivalLimits, onLate: (silentMs: Milliseconds) => void, now: () => Milliseconds = () => performance.now()): ArrivalWatch {
	const startedAt = now();
	const arrival: Arrival = {
		startedAt, headAt: undefined, lastByteAt: startedAt, bytes: 0,
	};
	let timer: NodeJS.Timeout | undefined;

	/** The timer is not set anew with each piece: it looks at the deadline when it fires. */
	function schedule(): void {
		timer = setTimeout(check, Math.max(1, Math.ceil(toArrivalDeadline(limits, arrival) - now())));
		timer.unref();
	}

	function check(): void {
		const at = now();
		if (at >= toArrivalDeadline(limits, arrival)) {
			onLate(at - arrival.lastByteAt);
		} else {
			schedule();
		}
	}

	schedule();
	return {
		noteHead() {
			arrival.headAt = now();
			arrival.lastByteAt = arrival.headAt;
			clearTimeout(timer);
			schedule();
		},
		noteBytes(count) {
			arrival.lastByteAt = now();
			arrival.bytes += count;
		},
		stop() {
			clearTimeout(timer);
		},
	};
}
