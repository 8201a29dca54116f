/**
 * A model, in virtual time, of hosts that come back at once into a crowd: callers
 * who found no host open new connections, leave unread ones after a while, and come
 * back. What is modelled of a host is its event loop: one connection is accepted in
 * each turn, and each step costs processor time.
 */
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {msPerSecond} from '../../../ports/units.js';
import {createStartQueue, type StartQueueOptions} from '../index.js';

/** When a host starts a request: in the turn in which it is read; in order, once a close behind it was read; or once the queue returns it. */
export type StartPolicy = 'as-read' | 'in-order' | 'by-queue';

export type CrowdOptions = {
	hosts: number;
	policy: StartPolicy;
	/** Requests a second for each host, without those that come back. */
	perSecond: number;
	/** Time for which all hosts are away, from the start of the course. */
	awayMs: Milliseconds;
	/** Length of the whole course. */
	lengthMs: Milliseconds;
	random: Random;
};

export type CrowdCourse = {
	/** Share of the requests sent in each second that were answered in time, at whichever attempt. */
	servedShares: readonly number[];
	/** Requests that were given to servers. */
	started: number;
	/** Of these, those whose callers had left. */
	startedForNobody: number;
	/** Of these, those whose callers had left half a second before. */
	startedLate: number;
	refused: number;
};

/** Processor time of each step on a small host. */
const costs = {
	turn: 0.2, accept: 0.3, read: 0.8, drop: 0.3, refuse: 3, start: 13,
} as const satisfies Record<string, Milliseconds>;

/** Time that a server needs for an answer. */
const workMs: Milliseconds = 15;

/** Time after which a caller leaves whose request is not answered. */
const patienceMs: Milliseconds = 1000;

/** Attempts of a caller. */
const maxAttempts = 4;

/** Time until a caller comes back who was refused. */
const retryAfterMs: Milliseconds = 1000;

/** Delay with which a caller notices that a host is away. */
const noticeMs: Milliseconds = 100;

const lateMs: Milliseconds = 500;

/** A queue that only waits for a close. */
const inOrder: StartQueueOptions = {behindMs: Infinity, startsPerTurn: Infinity, acceptFirstMs: 0};

/** Connections that a host's operating system keeps until they are accepted. */
const backlog = 1024;

type Attempt = {
	/** When the caller first asked. */
	askedAt: Milliseconds;
	number: number;
	leavesAt: Milliseconds;
	isAnswered: boolean;
	isRefused: boolean;
};

type Host = {
	/** Time up to which its event loop has run. */
	ranUntil: Milliseconds;
	/** Connections that wait to be accepted. */
	unaccepted: Attempt[];
	/** Connections whose request is read in the next turn. */
	accepted: Attempt[];
	/** Requests whose connection shows a close in the next turn. */
	open: Set<Attempt>;
	queue: ReturnType<typeof createStartQueue<Attempt>>;
};

/**
 * Plays one course.
 *
 * @param options - See {@link CrowdOptions}.
 * @returns What callers got and servers were given.
 */
export function playCrowd({hosts: hostCount, policy, perSecond, awayMs, lengthMs, random}: CrowdOptions): CrowdCourse {
	const hosts: Host[] = Array.from({length: hostCount}, () => ({
		ranUntil: awayMs, unaccepted: [], accepted: [], open: new Set(), queue: createStartQueue<Attempt>(policy === 'in-order' ? inOrder : {}),
	}));
	const events = new Map<Milliseconds, Array<(now: Milliseconds) => void>>();
	const asked = new Map<number, number>();
	const served = new Map<number, number>();
	const counts = {
		started: 0, startedForNobody: 0, startedLate: 0, refused: 0,
	};

	function schedule(at: Milliseconds, event: (now: Milliseconds) => void): void {
		const tick = Math.ceil(at);
		events.set(tick, [...events.get(tick) ?? [], event]);
	}

	function comeBack({askedAt, number}: Attempt, at: Milliseconds): void {
		if (number < maxAttempts) {
			schedule(at, now => {
				send(askedAt, number + 1, now);
			});
		}
	}

	function send(askedAt: Milliseconds, number: number, now: Milliseconds): void {
		const attempt: Attempt = {
			askedAt, number, leavesAt: now + patienceMs, isAnswered: false, isRefused: false,
		};
		const host = hosts[Math.floor(random() * hostCount)]!;
		if (now < awayMs || host.unaccepted.length >= backlog) {
			comeBack(attempt, now + noticeMs + (random() * patienceMs));
			return;
		}

		host.unaccepted.push(attempt);
		host.ranUntil = Math.max(host.ranUntil, now);
		schedule(attempt.leavesAt, at => {
			if (!attempt.isAnswered && !attempt.isRefused) {
				comeBack(attempt, at + (random() * noticeMs));
			}
		});
	}

	function start(host: Host, attempt: Attempt): void {
		host.ranUntil += costs.start;
		host.open.delete(attempt);
		counts.started++;
		counts.startedForNobody += attempt.leavesAt <= host.ranUntil ? 1 : 0;
		counts.startedLate += attempt.leavesAt + lateMs <= host.ranUntil ? 1 : 0;
		if (host.ranUntil + workMs <= attempt.leavesAt) {
			attempt.isAnswered = true;
			const second = Math.floor(attempt.askedAt / msPerSecond);
			served.set(second, (served.get(second) ?? 0) + 1);
		}
	}

	function refuse(host: Host, attempt: Attempt): void {
		host.ranUntil += costs.refuse;
		host.open.delete(attempt);
		counts.refused++;
		if (host.ranUntil <= attempt.leavesAt) {
			attempt.isRefused = true;
			comeBack(attempt, host.ranUntil + (retryAfterMs * (0.5 + random())));
		}
	}

	function readCloses(host: Host): void {
		const closed = [...host.open].filter(({leavesAt}) => leavesAt <= host.ranUntil);
		for (const attempt of closed) {
			host.ranUntil += costs.drop;
			host.open.delete(attempt);
			host.queue.remove(attempt);
		}
	}

	function read(host: Host, attempt: Attempt): void {
		host.ranUntil += costs.read;
		if (policy === 'as-read') {
			start(host, attempt);
			return;
		}

		host.open.add(attempt);
		host.queue.add(attempt, {readAt: host.ranUntil, maxWaitMs: policy === 'in-order' ? Infinity : patienceMs});
	}

	function runTurn(host: Host): void {
		host.ranUntil += costs.turn;
		readCloses(host);
		const arrived = host.accepted;
		host.accepted = host.unaccepted.splice(0, 1);
		host.ranUntil += host.accepted.length * costs.accept;
		for (const attempt of arrived) {
			read(host, attempt);
		}

		const {started, refused} = host.queue.take(host.ranUntil, {hasAccepted: host.accepted.length > 0});
		for (const attempt of refused) {
			refuse(host, attempt);
		}

		for (const attempt of started) {
			start(host, attempt);
		}
	}

	const isIdle = ({unaccepted, accepted, queue}: Host): boolean => unaccepted.length + accepted.length + queue.size() === 0;

	for (let now = 0; now < lengthMs; now++) {
		for (let host = 0; host < hostCount; host++) {
			if (random() < perSecond / msPerSecond) {
				const second = Math.floor(now / msPerSecond);
				asked.set(second, (asked.get(second) ?? 0) + 1);
				send(now, 1, now);
			}
		}

		for (const event of events.get(now) ?? []) {
			event(now);
		}

		events.delete(now);
		for (const host of hosts) {
			while (host.ranUntil <= now && !isIdle(host)) {
				runTurn(host);
			}
		}
	}

	return {
		servedShares: Array.from({length: Math.floor(lengthMs / msPerSecond)}, (_, second) => (served.get(second) ?? 0) / (asked.get(second) ?? 1)),
		...counts,
	};
}

/**
 * Finds how long it takes until service is back.
 *
 * @param course - The course.
 * @param from - Second in which the hosts are back.
 * @param share - Share of the requests that counts as service.
 * @returns Seconds until the first of three seconds in a row with that share; `Infinity` if there are none.
 */
export function toSecondsUntilServed({servedShares}: CrowdCourse, from: number, share: number): number {
	const found = servedShares.findIndex((_, second) => second >= from && second + 3 <= servedShares.length - 2 && servedShares.slice(second, second + 3).every(served => served >= share));
	return found === -1 ? Infinity : found - from;
}
