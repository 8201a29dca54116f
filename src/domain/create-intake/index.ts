/**
 * The order in which a host starts the requests that it has read.
 *
 * A host that is behind and starts the oldest request first reaches each one after
 * its caller has left, and stays behind for as long as others come. Once the oldest
 * has waited for some time, the newest are started first, because their callers
 * still wait (adaptive LIFO); those that have waited too long are refused.
 */
import {type Milliseconds} from '../../ports/clock.js';

export type IntakeOptions = {
	/** Wait of the oldest request from which the newest are started first; below it requests are started in the order in which they were read. */
	behindMs?: Milliseconds;
	/** Requests that are started in one turn of the event loop. What arrives meanwhile is read in between. */
	startsPerTurn?: number;
	/** Longest time for which accepting connections goes before starting requests. Connections that wait to be accepted can't be told from those whose callers have left. */
	acceptFirstMs?: Milliseconds;
};

export type IntakeTurn<Request> = {
	started: readonly Request[];
	refused: readonly Request[];
};

export type Intake<Request> = {
	/** Adds a request that was read; it is refused once it has waited for longer than `maxWaitMs`. */
	add: (request: Request, waiting: {readAt: Milliseconds; maxWaitMs: Milliseconds}) => void;
	/** Removes a request whose caller has left; returns whether it was waiting. */
	remove: (request: Request) => boolean;
	/**
	 * Removes and returns the requests to start and those to refuse. To be called once
	 * in each turn of the event loop: a request is returned after a whole turn, in
	 * which a close behind it was read.
	 */
	take: (now: Milliseconds, turn: {hasAccepted: boolean}) => IntakeTurn<Request>;
	size: () => number;
	/** Time for which the oldest request has waited. */
	oldestWaitMs: (now: Milliseconds) => Milliseconds;
};

type Waiting = {
	readAt: Milliseconds;
	maxWaitMs: Milliseconds;
	/** Whether a turn of the event loop has passed since it was added. */
	isRipe: boolean;
};

const defaults: Required<IntakeOptions> = {behindMs: 100, startsPerTurn: 4, acceptFirstMs: 50};

/**
 * Creates an empty intake.
 *
 * @param options - See {@link IntakeOptions}.
 * @returns See {@link Intake}; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const intake = createIntake<string>();
 * intake.add('r1', {readAt: 0, maxWaitMs: 1000});
 * intake.take(0, {hasAccepted: false}); // => {started: [], refused: []}
 * intake.take(1, {hasAccepted: false}); // => {started: ['r1'], refused: []}
 * ```
 */
export function createIntake<Request>(options: IntakeOptions = {}): Intake<Request> {
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

	function ripen(): void {
		for (const request of waiting.values()) {
			request.isRipe = true;
		}
	}

	function listStartable(now: Milliseconds): Request[] {
		const isBehind = oldestWaitMs(now) > behindMs;
		const ripe = [...waiting].filter(([, {isRipe}]) => isRipe).map(([request]) => request);
		return isBehind ? ripe.reverse() : ripe;
	}

	return {
		add(request, {readAt, maxWaitMs}) {
			waiting.set(request, {readAt, maxWaitMs, isRipe: false});
		},
		remove: request => waiting.delete(request),
		take(now, {hasAccepted}) {
			const mustAccept = isAccepting(now, hasAccepted);
			const overdue = [...waiting].filter(([, {isRipe, readAt, maxWaitMs}]) => isRipe && now - readAt > maxWaitMs);
			const refused = extract(overdue.map(([request]) => request));
			const started = mustAccept ? [] : extract(listStartable(now).slice(0, startsPerTurn));
			ripen();
			return {started, refused};
		},
		size: () => waiting.size,
		oldestWaitMs,
	};
}
