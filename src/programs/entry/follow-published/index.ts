/**
 * Keeps a host's view in step with a platform that publishes servers one by
 * one: a list first, then what changes.
 */
import {setTimeout as sleepOrThrow} from 'node:timers/promises';
import {toAge} from '../../../_lib/to-age/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {compareEras} from '../../../domain/compare-eras/index.js';
import {createPublishedFleet, type FleetChange} from '../../../domain/create-published-fleet/index.js';
import {minPauseMs, toReadPace} from '../../../domain/to-read-pace/index.js';
import {type Clock, type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ZoneEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {
	platformTimeoutMs, type PublishedEra, type PublishedFailure, type PublishedPosition, type PublishedRead, type PublishedSource,
} from '../../../ports/published.js';
import {type FleetView} from '../../../ports/view.js';
import {logFleetChange, logWholeRead} from './_lib/log-published.js';

export type FollowOptions = {
	source: PublishedSource;
	zones: readonly ZoneEntry[];
	clock: Clock;
	random: Random;
	log: Log;
	onView: (view: FleetView) => void;
	/** Time from a publication within which this host must act on it. */
	actWithinMs: Milliseconds;
	/** Told each time that the platform came back from an older copy. */
	onReset?: () => void;
	/** Resolves after the time, or once the signal aborts; timers of the process by default. */
	sleep?: (ms: Milliseconds, signal: AbortSignal) => Promise<void>;
};

export type Follower = {
	toView: () => FleetView | undefined;
	/** Whether the platform answered the last read. */
	isConnected: () => boolean;
	/** Time since the platform answered a read; `undefined` before the first. */
	platformAnswerAgeMs: () => Milliseconds | undefined;
	/** Whether what the platform lists may be older than what is known, as it came back from a copy a moment ago. */
	isReset: () => boolean;
	/** Takes a server's own notice that it leaves. */
	noteLeaving: (server: ServerId) => void;
	stop: () => Promise<void>;
};

/**
 * Longest wait while a server is missing. Its time ends with a read, and begins
 * anew when the platform goes away again: a silence of a second must show by then,
 * or a living server would be dropped for want of a platform to write to. It costs
 * up to eight reads a host after an outage (worked out: 2.5 s of them).
 */
const maxWaitWhileMissingMs = 300;

/** Time from the platform's return in which this host must act on what it says, less what a request is on its way. */
const requestTransitMs: Milliseconds = 150;
const returnDeadlineMs: Milliseconds = 3000 - requestTransitMs;

/** Longest pause between two reads, of those that `toReadPace` gives. */
const maxReadPauseMs: Milliseconds = 1500;

/** Answers of an older era that may be late. More in a row are not: the platform counts its eras anew. */
const maxStaleAnswers = 10;

/** Time over which hosts spread the whole read that follows the platform's return from a copy. */
const resetSpreadMs: Milliseconds = 300;

/** Longest pause after a read that failed by itself: it is usually its connection, and the next one is answered. */
const maxFirstRetryDelayMs = 100;

/**
 * Pause between two attempts while the platform does not answer, and what chance
 * adds, so that hosts that failed together don't come back together. With the
 * limit of an answer it bounds to 0.75 s how late the return of the platform is
 * noticed: what is missing then is used for 2.8 s from the return, and living
 * servers have two of them to publish themselves anew. 400 hosts that are all
 * refused read 1,800 times a second, of the 2,000 that the platform allows.
 */
const retryDelayMs = 200;
const retryJitterMs = 50;

const toRetryDelayMs = (failures: number, random: Random): Milliseconds =>
	failures === 1 ? random() * maxFirstRetryDelayMs : retryDelayMs + (random() * retryJitterMs);

async function sleepUnlessAborted(ms: Milliseconds, signal: AbortSignal): Promise<void> {
	try {
		await sleepOrThrow(ms, undefined, {signal});
	} catch {
		// Only the stop of the process ends a pause early.
	}
}

/** What an answer says of where the platform stands. */
type Answer = {
	era: PublishedEra | undefined;
	/** `undefined` where the platform failed to answer what it was asked. */
	position: PublishedPosition | undefined;
	/** Start of the read. */
	startedAt: Milliseconds;
	isWhole: boolean;
};

/**
 * Starts to follow the platform.
 *
 * @param options - Where to read, and what to do with each view.
 * @returns The follower; its view is `undefined` until the first read.
 */
export function followPublished(options: FollowOptions): Follower {
	const {
		source, clock, random, log, onView, onReset = () => undefined, sleep = sleepUnlessAborted,
	} = options;
	const pace = toReadPace(options.actWithinMs);
	const fleet = createPublishedFleet({zones: options.zones});
	const stopping = new AbortController();
	let view: FleetView | undefined;
	/** How far this host has read; `undefined` when everything is to be read. */
	let position: PublishedPosition | undefined;
	/** Newest era that any answer has named. */
	let era: PublishedEra | undefined;
	/** A new era was named by an answer that was no read: the platform may not be back yet. */
	let isReturning = false;
	/** Answers in a row that named an older era. */
	let staleAnswers = 0;
	let isConnected = false;
	let failures = 0;
	let answeredAt: Milliseconds | undefined;
	/** Start of the last read that failed: what tells how long the platform may have been back unnoticed. */
	let failedReadAt: Milliseconds | undefined;
	/** Last time at which the platform was away, as far as this host can tell: a read that got no answer tells of its start alone, one that was broken off of its end. */
	let lastOutageSignAt: Milliseconds | undefined;

	function report(change: FleetChange): void {
		logFleetChange(log, change, position?.revision);
		if (view === undefined || change.rules !== undefined || change.servers.length > 0) {
			view = fleet.toView(clock.now());
			onView(view);
		}
	}

	function acceptRead(read: PublishedRead, {isWhole}: {isWhole: boolean}): void {
		position = read.position;
		const now = clock.now();
		if (!isConnected) {
			isConnected = true;
			log.info('platform answers', {
				revision: position.revision, era, count: failures, silentMs: toAge(answeredAt, now), failedReadAgeMs: toAge(failedReadAt, now),
			});
		}

		// The first read that fails in a row may have been a watch that broke off.
		const context = {failedAttemptAt: failures > 1 ? failedReadAt : undefined};
		failures = 0;
		answeredAt = now;
		failedReadAt = undefined;
		lastOutageSignAt = undefined;
		if (isWhole && fleet.fullReadAt() !== undefined) {
			logWholeRead(log, read, fleet.countDifferences(read.changes));
		}

		report(isWhole ? fleet.replace(read.changes, now, context) : fleet.apply(read.changes, now, context));
		report(fleet.sweep(now));
	}

	/**
	 * Waits end when the time of missing servers does, so that a fresh read decides
	 * whether they stayed away. Looked at between reads as they came, the end was
	 * noticed up to a watch and its pause late, and callers' requests broke at a
	 * server that had ended meanwhile.
	 */
	function toWaitMs(maxMs: Milliseconds): Milliseconds {
		const missingUntil = fleet.missingUntil();
		const missingLeftMs = missingUntil === undefined ? Infinity : Math.min(maxWaitWhileMissingMs, Math.ceil(missingUntil - clock.now()));
		const toWholeReadMs = Math.ceil((fleet.fullReadAt() ?? Infinity) - clock.now());
		return Math.min(maxMs, Math.max(1, Math.min(missingLeftMs, toWholeReadMs)));
	}

	/** Without rules nobody can be served: they may be published any moment. */
	const toPauseAfterRead = (): Milliseconds => view?.accepted === undefined ? minPauseMs : pace.pauseMs;

	/** After a failed read the question is whether the platform answers at all: nothing is waited for. */
	function readNext(signal: AbortSignal, {isWhole, waitMs}: {isWhole: boolean; waitMs: Milliseconds}): ReturnType<PublishedSource['list']> {
		if (isWhole || position === undefined) {
			return source.list(signal);
		}

		return source.watch(position, waitMs, signal);
	}

	async function handleFailure({kind, message}: PublishedFailure, {startedAt, isUnanswered}: {startedAt: Milliseconds; isUnanswered: boolean}): Promise<void> {
		if (kind === 'forgotten') {
			log.warn('platform no longer knows what changed, reading all anew', {revision: position?.revision, reason: message});
			position = undefined;
			return;
		}

		if (isConnected) {
			isConnected = false;
			log.warn('platform does not answer', {revision: position?.revision, kind, reason: message});
		}

		failures++;
		failedReadAt = startedAt;
		lastOutageSignAt = isUnanswered ? startedAt : clock.now();
		await sleep(toRetryDelayMs(failures, random), stopping.signal);
	}

	/**
	 * When this host must act on what the platform says after its return. That was
	 * after the last sign that it was away, or the last answer from before; of what was
	 * written since that answer there is as much time as always, but a server that was
	 * missing before had left before. A process that stood still can't tell when it
	 * was, and has its time from now.
	 */
	function toLatestActAt(startedAt: Milliseconds): Milliseconds {
		if (lastOutageSignAt !== undefined) {
			return lastOutageSignAt + returnDeadlineMs;
		}

		const wasSuspended = answeredAt === undefined || startedAt - answeredAt > 2 * maxReadPauseMs;
		const sinceAnswerMs = fleet.missingUntil() === undefined ? Math.max(returnDeadlineMs, options.actWithinMs - requestTransitMs) : returnDeadlineMs;
		return wasSuspended ? Infinity : answeredAt! + sinceAnswerMs;
	}

	/** All that is known by revision ends here: the platform gives the same ones out again, for other changes. */
	function startEra(next: PublishedEra, {position: answered, startedAt}: Answer): void {
		const now = clock.now();
		if (answeredAt !== undefined) {
			log.warn('platform came back from an older copy, reading all anew', {
				era: next, eraBefore: era, revision: answered?.revision, revisionBefore: position?.revision, edition: view?.accepted?.version.edition,
			});
			onReset();
			fleet.noteReset({latestActAt: toLatestActAt(startedAt)}, now);
		}

		era = next;
		isReturning = answeredAt !== undefined && answered === undefined;
		position = undefined;
	}

	/** Whether the answer counts. One of an older era was under way for long; one of a newer era counts only if it is a whole read. */
	function isUsable(answer: Answer): boolean {
		const order = compareEras(answer.era, era);
		staleAnswers = order === 'older' ? staleAnswers + 1 : 0;
		const isNewEra = order === 'newer' || staleAnswers > maxStaleAnswers;
		if (isNewEra) {
			startEra(answer.era!, answer);
		}

		return order === 'same' || (isNewEra && answer.isWhole);
	}

	/** Many hosts see the platform's return at once, and each reads everything. */
	async function pauseBeforeReset(signal: AbortSignal): Promise<void> {
		await sleep(random() * resetSpreadMs, signal);
	}

	async function readOnce(signal: AbortSignal): Promise<void> {
		const startedAt = clock.now();
		const isWhole = position === undefined || startedAt >= (fleet.fullReadAt() ?? Infinity);
		const waitMs = failures > 0 ? 1 : toWaitMs(pace.waitMs);
		const read = await readNext(signal, {isWhole, waitMs});
		if (signal.aborted) {
			return;
		}

		if (read.isErr()) {
			const eraBefore = era;
			isUsable({
				era: read.error.era, position: undefined, startedAt, isWhole: false,
			});
			const isReturn = read.error.kind === 'forgotten' && era !== eraBefore;
			const isUnanswered = clock.now() - startedAt >= platformTimeoutMs + (isWhole ? 0 : waitMs);
			await (isReturn ? pauseBeforeReset(signal) : handleFailure(read.error, {startedAt, isUnanswered}));
			return;
		}

		const answered = read.value.position;
		if (!isUsable({
			era: answered.era, position: answered, startedAt, isWhole,
		})) {
			await pauseBeforeReset(signal);
			return;
		}

		if (isReturning) {
			isReturning = false;
			fleet.noteReset({latestActAt: toLatestActAt(startedAt)}, clock.now());
		}

		acceptRead(read.value, {isWhole});
		await sleep(toWaitMs(toPauseAfterRead()), signal);
	}

	async function run(): Promise<void> {
		while (!stopping.signal.aborted) {
			await readOnce(stopping.signal);
		}
	}

	const done = run();
	return {
		toView: () => view,
		isConnected: () => isConnected,
		isReset: () => fleet.fullReadAt() !== undefined,
		platformAnswerAgeMs: () => toAge(answeredAt, clock.now()),
		noteLeaving(server) {
			report(fleet.noteLeaving(server));
		},
		async stop() {
			stopping.abort();
			await done;
			await source.close();
		},
	};
}
