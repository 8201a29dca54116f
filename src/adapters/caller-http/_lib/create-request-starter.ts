/** Starts requests in turns of the event loop, in the order of the start queue. */
import {createStartQueue} from '../../../domain/create-start-queue/index.js';
import {type Milliseconds} from '../../../ports/clock.js';

/** A request that was read. */
export type Startable = {
	readAt: Milliseconds;
	/** Time after which it is refused. */
	maxWaitMs: Milliseconds;
	/** Starts or refuses it. `turnAt` is the start of the last turn in which its connection was read. */
	start: (how: {isOverdue: boolean; turnAt: Milliseconds}) => void;
};

export type RequestStarter = {
	add: (request: Startable) => void;
	/** Forgets a request whose caller has left; returns whether it was waiting. */
	remove: (request: Startable) => boolean;
	/** Notes that a connection was accepted. */
	noteAccepted: () => void;
	/** Number of requests that wait. */
	size: () => number;
};

/**
 * Creates the starter of one port.
 *
 * @param options - Monotonic clock, and a function that schedules a callback after the sockets of this turn of the event loop were read.
 * @returns The starter. It schedules nothing while no request waits.
 */
export function createRequestStarter({now, schedule}: {now: () => Milliseconds; schedule: (run: () => void) => void}): RequestStarter {
	const queue = createStartQueue<Startable>();
	let hasAccepted = false;
	let isScheduled = false;
	let turnAt = -Infinity;

	function scheduleTurn(): void {
		if (!isScheduled && queue.size() > 0) {
			isScheduled = true;
			schedule(runTurn);
		}
	}

	function runTurn(): void {
		isScheduled = false;
		const lastTurnAt = turnAt;
		turnAt = now();
		const {started, refused} = queue.take(turnAt, {hasAccepted});
		hasAccepted = false;
		for (const request of started) {
			request.start({isOverdue: false, turnAt: lastTurnAt});
		}

		for (const request of refused) {
			request.start({isOverdue: true, turnAt: lastTurnAt});
		}

		scheduleTurn();
	}

	return {
		add(request) {
			queue.add(request, request);
			scheduleTurn();
		},
		remove: queue.remove,
		noteAccepted() {
			hasAccepted = true;
		},
		size: queue.size,
	};
}
