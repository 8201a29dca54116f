/**
 * The order in which a host starts the requests that it has read.
 *
 * A host that is behind and starts the oldest request first reaches each one after
 * its caller has left, and stays behind for as long as others come. Once the oldest
 * has waited for some time, the newest are started first, because their callers
 * still wait (adaptive LIFO); others that have waited too long are refused.
 */
import {type Milliseconds} from '../../ports/clock.js';

export type StartQueueOptions = {
	/** Wait of the oldest request from which the newest are started first; below it requests are started in the order in which they were read. */
	behindMs?: Milliseconds;
	/** Requests that are started in one turn of the event loop. What arrives meanwhile is read in between. */
	startsPerTurn?: number;
	/** Longest time for which accepting connections goes before starting requests. Connections that wait to be accepted can't be told from those whose callers have left. */
	acceptFirstMs?: Milliseconds;
};

export type StartTurn<Request> = {
	started: readonly Request[];
	refused: readonly Request[];
};

export type StartQueue<Request> = {
	/** Adds a request that was read; once it has waited for longer than `maxWaitMs`, it is refused unless its turn has come. */
	add: (request: Request, waiting: {readAt: Milliseconds; maxWaitMs: Milliseconds}) => void;
	/** Removes a request whose caller has left; returns whether it was waiting. */
	remove: (request: Request) => boolean;
	/**
	 * Removes and returns the requests to start and those to refuse. To be called once
	 * in each turn of the event loop: a request is returned after a whole turn, in
	 * which a close behind it was read.
	 */
	take: (now: Milliseconds, turn: {hasAccepted: boolean}) => StartTurn<Request>;
	size: () => number;
};

type Waiting = {
	readAt: Milliseconds;
	maxWaitMs: Milliseconds;
	/** Whether a turn of the event loop has passed since it was added. */
	hasWaitedTurn: boolean;
};

const defaults: Required<StartQueueOptions> = {behindMs: 100, startsPerTurn: 4, acceptFirstMs: 50};

/**
 * Creates an empty queue.
 *
 * @param options - See {@link StartQueueOptions}.
 * @returns See {@link StartQueue}; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const queue = createStartQueue<string>();
 * queue.add('r1', {readAt: 0, maxWaitMs: 1000});
 * queue.take(0, {hasAccepted: false}); // => {started: [], refused: []}
 * queue.take(1, {hasAccepted: false}); // => {started: ['r1'], refused: []}
 * ```
 */
export function createStartQueue<Request>(options: StartQueueOptions = {}): StartQueue<Request> {
	const {behindMs, startsPerTurn, acceptFirstMs} = {...defaults, ...options};
	/** In the order in which they were read. */
	const waiting = new Map<Request, Waiting>();
	/** Since when connections have been accepted in each turn; `undefined` if none was in the last. */
	let acceptingSince: Milliseconds | undefined;

	function oldestWaitMs(now: Milliseconds): Milliseconds {
		const [oldest] = waiting.values();
		return oldest === undefined ? 0 : now - oldest.readAt;
	}

	/** Whether starting requests is put off for connections that may wait to be accepted. */
	function isAccepting(now: Milliseconds, hasAccepted: boolean): boolean {
		if (!hasAccepted) {
			acceptingSince = undefined;
			return false;
		}

		acceptingSince ??= now;
		const isDue = now - acceptingSince >= acceptFirstMs;
		acceptingSince = isDue ? undefined : acceptingSince;
		return !isDue;
	}

	/** Removes the requests and returns them. */
	function extract(requests: readonly Request[]): readonly Request[] {
		for (const request of requests) {
			waiting.delete(request);
		}

		return requests;
	}

	function noteTurn(): void {
		for (const request of waiting.values()) {
			request.hasWaitedTurn = true;
		}
	}

	function listStartable(now: Milliseconds): Request[] {
		const isBehind = oldestWaitMs(now) > behindMs;
		const startable = [...waiting].filter(([, {hasWaitedTurn}]) => hasWaitedTurn).map(([request]) => request);
		return isBehind ? startable.reverse() : startable;
	}

	function listOverdue(now: Milliseconds): Request[] {
		return [...waiting]
			.filter(([, {hasWaitedTurn, readAt, maxWaitMs}]) => hasWaitedTurn && now - readAt > maxWaitMs)
			.map(([request]) => request);
	}

	return {
		add(request, {readAt, maxWaitMs}) {
			waiting.set(request, {readAt, maxWaitMs, hasWaitedTurn: false});
		},
		remove: request => waiting.delete(request),
		take(now, {hasAccepted}) {
			const isPutOff = isAccepting(now, hasAccepted);
			const started = isPutOff ? [] : extract(listStartable(now).slice(0, startsPerTurn));
			const refused = isPutOff ? [] : extract(listOverdue(now));
			noteTurn();
			return {started, refused};
		},
		size: () => waiting.size,
	};
}
