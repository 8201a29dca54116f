/**
 * Decides when a host that starts, or comes back, knows enough of what the other
 * hosts know to serve callers. A host that serves before acts as if what it does not
 * know were not so: it sends on a request that ends servers, although all others
 * refuse it. Each host that starts would end one more server.
 *
 * The wait is bounded, as all hosts may start at the same moment, or none may be
 * reached. Then the host serves by what it knows.
 */
import {type CatchUpAnswer, type CatchUpCause, type Knowledge} from '../../ports/catch-up.js';
import {type Milliseconds} from '../../ports/clock.js';
import {type ZoneId} from '../../ports/ids.js';
import {createPauseGuard} from '../create-pause-guard/index.js';

/** Time without an answer after which the host serves all the same. Hosts that live send to one that starts within half a second, also where all seeds are gone. */
const maxWaitMs: Milliseconds = 600;

/** Time after which one answer is enough, also of a host that was away itself: nobody may know more. */
const anyAnswerMs: Milliseconds = 200;

/** Number of answers that end the wait: a message may be lost on its way to one host, but hardly on its way to two. */
const wantedAnswers = 2;

/** Time after which further hosts are asked, as a question or an answer may be lost. */
const askAgainMs: Milliseconds = 100;

/** The same once the host serves without an answer. */
const askLaterMs: Milliseconds = 1000;

/** Time after a start without any answer from which what this host knows counts as all that is known: three rounds of messages. */
const settledMs: Milliseconds = 3000;

/** Hosts that are asked at a time; fewer once the host serves, as nobody waits then. */
const askedAtOnce = 2;
const askedLater = 1;

/** Gap between two looks at the clock from which messages of other hosts may have been dropped. */
const pauseMs: Milliseconds = 1000;

/** How a wait ended. */
export type CaughtUp = {
	cause: CatchUpCause;
	tookMs: Milliseconds;
	/** Number of hosts that have told all that they know. */
	answers: number;
	/** Whether the host serves without them. */
	isOverdue: boolean;
};

export type CatchUpOptions = {
	/** Zone of this host. */
	zone: ZoneId;
	/** Monotonic time at which the process started. */
	startedAt: Milliseconds;
	/** Hosts that may answer a wait of this cause, the likeliest first. */
	toPeers: (cause: CatchUpCause, now: Milliseconds) => readonly string[];
	/** Asks hosts for all that they know; messages may be lost. */
	ask: (id: number, to: readonly string[]) => void;
	/** Called at the end of each wait. */
	onEnd?: (ended: CaughtUp) => void;
};

export type CatchUp = {
	/** Begins to wait, and to ask; does nothing while the host waits already. */
	begin: (cause: CatchUpCause, now: Milliseconds) => void;
	/** Records a message of an answer of a host. */
	noteAnswer: (from: Answerer, answer: CatchUpAnswer, now: Milliseconds) => void;
	/** Asks again what is overdue, and ends the wait when its time is over. */
	tick: (now: Milliseconds) => void;
	/** Whether callers' requests have to wait. */
	isBehind: (now: Milliseconds) => boolean;
	/** How complete the knowledge of this host is. */
	toKnowledge: (now: Milliseconds) => Knowledge;
	/** Whether this host was told only by hosts that were away, so that others may know more. */
	isToldInPart: () => boolean;
	/** Calls the function at the end of the wait; at once if there is none. */
	whenDone: (act: () => void, now: Milliseconds) => void;
	/** When the next question is due, or the wait ends; `undefined` while nothing waits. */
	dueAt: () => Milliseconds | undefined;
};

/** A host that answers, by the address of its messages. */
export type Answerer = {address: string; zone: ZoneId};

type Answers = {parts: Set<number>; count: number; zone: ZoneId; knowledge: Knowledge};

type Wait = {
	id: number;
	cause: CatchUpCause;
	beganAt: Milliseconds;
	askedAt: Milliseconds;
	/** How often each host was asked. */
	asked: Map<string, number>;
	answers: Map<string, Answers>;
	/** Whether the host serves although nobody has answered. */
	isOverdue: boolean;
};

const isWhole = ({parts, count}: Answers): boolean => parts.size === count;

/**
 * Whether an answer tells what this host lacks, although its sender was away or has
 * started itself. A host that starts learns nothing from another one that starts, and
 * one that was cut off learns nothing from its own zone, which was cut off with it.
 */
function isFallback({zone, knowledge}: Answers, cause: CatchUpCause, ownZone: ZoneId): boolean {
	switch (cause) {
		case 'start': {
			return knowledge !== 'starting';
		}

		case 'isolation': {
			return zone !== ownZone;
		}

		case 'pause': {
			return true;
		}
	}
}

const toAskAt = ({askedAt, isOverdue}: Wait): Milliseconds => askedAt + (isOverdue ? askLaterMs : askAgainMs);

/** Picks the hosts to ask next: those that have been asked least often. */
function pickAsked(peers: readonly string[], {asked, answers, isOverdue}: Wait): readonly string[] {
	const toCount = (address: string): number => asked.get(address) ?? 0;
	const hasTold = (address: string): boolean => {
		const answer = answers.get(address);
		return answer !== undefined && isWhole(answer);
	};

	return peers
		.filter(address => !hasTold(address))
		.toSorted((a, b) => toCount(a) - toCount(b))
		.slice(0, isOverdue ? askedLater : askedAtOnce);
}

/**
 * Creates the decision of one host, which waits for nothing yet.
 *
 * @param options - See {@link CatchUpOptions}.
 * @returns See {@link CatchUp}; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const catchUp = createCatchUp({zone: 'a', startedAt: 0, toPeers: () => ['10.0.0.2:7380'], ask});
 * catchUp.begin('start', 0);
 * catchUp.isBehind(1); // => true
 * catchUp.noteAnswer({address: '10.0.0.2:7380', zone: 'b'}, {kind: 'answer', id: 1, part: 0, parts: 1, knowledge: 'current'}, 5);
 * catchUp.isBehind(6); // => false, as no other host is known
 * ```
 */
export function createCatchUp({
	zone: ownZone, startedAt, toPeers, ask, onEnd = () => undefined,
}: CatchUpOptions): CatchUp {
	const pauses = createPauseGuard({limitMs: pauseMs, startedAt});
	let wait: Wait | undefined;
	let waiting: Array<() => void> = [];
	let lastId = 0;
	/** Start of a process that has not been told anything yet. */
	let unknowingSince: Milliseconds | undefined;

	/** See {@link CatchUp.isToldInPart}. */
	let isToldInPart = false;

	const isStarting = (now: Milliseconds): boolean => unknowingSince !== undefined && now - unknowingSince < settledMs;

	const isWaiting = (): boolean => wait !== undefined && !wait.isOverdue;

	function askMore(current: Wait, now: Milliseconds): void {
		const addresses = pickAsked(toPeers(current.cause, now), current);
		current.askedAt = now;
		for (const address of addresses) {
			current.asked.set(address, (current.asked.get(address) ?? 0) + 1);
		}

		if (addresses.length > 0) {
			ask(current.id, addresses);
		}
	}

	function begin(cause: CatchUpCause, now: Milliseconds): void {
		if (isWaiting()) {
			return;
		}

		lastId++;
		if (cause === 'start') {
			unknowingSince = now;
		}

		wait = {
			id: lastId, cause: isStarting(now) ? 'start' : cause, beganAt: now, askedAt: now, asked: new Map(), answers: new Map(), isOverdue: false,
		};
		askMore(wait, now);
	}

	function release({cause, beganAt, isOverdue}: Wait, answers: number, now: Milliseconds): void {
		const released = waiting;
		waiting = [];
		onEnd({
			cause, tookMs: now - beganAt, answers, isOverdue,
		});
		for (const act of released) {
			act();
		}
	}

	/** Ends the wait if enough is known, and lets requests go on if it has lasted too long. */
	function settle(current: Wait, now: Milliseconds): void {
		const {cause} = current;
		const whole = [...current.answers.values()].filter(answer => isWhole(answer));
		const ofCurrent = whole.filter(({knowledge}) => knowledge === 'current');
		const fallbacks = whole.filter(answer => answer.knowledge !== 'current' && isFallback(answer, cause, ownZone));
		const waitedMs = now - current.beganAt;
		const isAnyEnough = waitedMs >= anyAnswerMs;
		const answers = ofCurrent.length + (isAnyEnough ? fallbacks.length : 0);
		const wanted = isAnyEnough ? 1 : Math.min(wantedAnswers, Math.max(1, toPeers(cause, now).length));
		if (answers >= wanted) {
			wait = undefined;
			unknowingSince = undefined;
			isToldInPart = cause === 'start' && ofCurrent.length === 0;
			release({...current, isOverdue: false}, answers, now);
		} else if (waitedMs >= maxWaitMs && !current.isOverdue) {
			current.isOverdue = true;
			release(current, answers, now);
		}
	}

	/** Checks for a pause first: whatever comes next may be older than what the others know. */
	function checkTime(now: Milliseconds): void {
		if (pauses.note(now) > 0) {
			begin('pause', now);
		}
	}

	function tick(now: Milliseconds): void {
		checkTime(now);
		if (wait !== undefined) {
			settle(wait, now);
		}

		if (wait !== undefined && now >= toAskAt(wait)) {
			askMore(wait, now);
		}
	}

	return {
		begin,
		tick,
		noteAnswer({address, zone}, {id, part, parts, knowledge}, now) {
			if (wait?.id !== id) {
				return;
			}

			const before = wait.answers.get(address);
			const seen = before?.count === parts ? before.parts : new Set<number>();
			wait.answers.set(address, {
				parts: seen.add(part), count: parts, zone, knowledge,
			});
			settle(wait, now);
		},
		isBehind(now) {
			checkTime(now);
			return isWaiting();
		},
		toKnowledge(now) {
			if (isStarting(now)) {
				return 'starting';
			}

			const isAway = wait !== undefined && (!wait.isOverdue || wait.cause !== 'start');
			return isAway || isToldInPart ? 'behind' : 'current';
		},
		isToldInPart: () => isToldInPart,
		whenDone(act, now) {
			checkTime(now);
			if (isWaiting()) {
				waiting.push(act);
			} else {
				act();
			}
		},
		dueAt: () => wait === undefined || wait.isOverdue ? undefined : Math.min(toAskAt(wait), wait.beganAt + maxWaitMs),
	};
}
