/**
 * Keeps a host's view up to date with a platform that publishes each server
 * separately: lists all of them first, then watches for changes.
 */
import {setTimeout as sleepOrThrow} from 'node:timers/promises';
import {ResultAsync} from 'neverthrow';
import {toAge} from '../../../_lib/to-age/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {compareEras} from '../../../domain/compare-eras/index.js';
import {createPublishedFleet, type FleetChange} from '../../../domain/create-published-fleet/index.js';
import {minPauseMs, toReadPace} from '../../../domain/to-read-pace/index.js';
import {type Clock, type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerEntry, type ZoneEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {
	platformTimeoutMs, type PublishedChange, type PublishedEra, type PublishedFailure, type PublishedPosition, type PublishedRead, type PublishedSource,
} from '../../../ports/published.js';
import {type FleetView} from '../../../ports/view.js';
import {followServersBeside} from './_lib/follow-servers-beside.js';
import {logFleetChange, logWholeRead} from './_lib/log-published.js';

export type FollowOptions = {
	source: PublishedSource;
	zones: readonly ZoneEntry[];
	clock: Clock;
	random: Random;
	log: Log;
	onView: (view: FleetView) => void;
	/** Time after a publication within which this host must act on it. */
	actWithinMs: Milliseconds;
	/** Called for each server that is published no more although it had not announced that it leaves. */
	onServerLost?: (server: ServerEntry) => void;
	/** Called for each server that is published no more after it had announced, by this monotonic time, that it leaves. */
	onServerLeft?: (server: ServerEntry, leavingSince: Milliseconds) => void;
	/** Called each time the platform has come back from an older copy. */
	onReset?: () => void;
	/** Resolves after the given time, or once the signal aborts; uses the process's timers by default. */
	sleep?: (ms: Milliseconds, signal: AbortSignal) => Promise<void>;
};

export type Follower = {
	toView: () => FleetView | undefined;
	/** Whether the platform answered the last read. */
	isConnected: () => boolean;
	/** Time since the platform answered a read; `undefined` before the first. */
	platformAnswerAgeMs: () => Milliseconds | undefined;
	/** Whether the platform has just come back from a copy, so that its list may be older than what this host knows. */
	isReset: () => boolean;
	/** Marks a server as leaving after the server's own notice. */
	noteLeaving: (server: ServerId) => void;
	stop: () => Promise<void>;
};

/**
 * Longest wait of a watch or pause while a server is missing. A read decides at the
 * end of the server's grace period whether to drop the server, and the period
 * restarts when the platform goes away again. An outage of a second must be noticed
 * by then, or a live server that could not write to the platform would be dropped.
 * The short wait costs a host up to eight reads after an outage, over 2.5 s.
 */
const maxWaitWhileMissingMs = 300;

/** Time for which a request may be in transit to a server. */
const requestTransitMs: Milliseconds = 150;
/** Time after the platform's return within which this host must act on its content; requests sent by then must have arrived. */
const returnDeadlineMs: Milliseconds = 3000 - requestTransitMs;

/** Longest time between two reads that `toReadPace` returns. */
const maxReadPauseMs: Milliseconds = 1500;

/** Bound on consecutive answers of an older era that count as late. More of them mean that the platform has restarted its count of eras. */
const maxStaleAnswers = 10;

/** Time over which hosts spread their full reads after the platform has come back from a copy. */
const resetSpreadMs: Milliseconds = 300;

/** Longest delay after the first failed read: the usual cause is its connection, and the next read succeeds. */
const maxFirstRetryDelayMs = 100;

/**
 * Delay between two attempts while the platform does not answer, and its jitter,
 * which keeps hosts that failed together from retrying together. With the timeout
 * of an answer, this delay bounds the time until the platform's return is noticed
 * to 0.75 s. Missing servers are then used until 2.8 s after the return, and live
 * ones have two of these seconds to publish themselves again. 400 hosts that are
 * all refused make 1,800 reads a second, of the 2,000 that the platform allows.
 */
const retryDelayMs = 200;
const retryJitterMs = 50;

const toRetryDelayMs = (failures: number, random: Random): Milliseconds =>
	failures === 1 ? random() * maxFirstRetryDelayMs : retryDelayMs + (random() * retryJitterMs);

async function sleepUnlessAborted(ms: Milliseconds, signal: AbortSignal): Promise<void> {
	try {
		await sleepOrThrow(ms, undefined, {signal});
	} catch {
		// The sleep rejects only when the signal aborts, as on a stop; that merely ends the pause early.
	}
}

/** Era and position of the platform by one answer. */
type Answer = {
	era: PublishedEra | undefined;
	/** `undefined` if the platform answered with a failure. */
	position: PublishedPosition | undefined;
	/** Start of the read. */
	startedAt: Milliseconds;
	isWhole: boolean;
};

/**
 * Starts to follow the platform.
 *
 * @param options - See {@link FollowOptions}.
 * @returns The follower; its view is `undefined` until the first read.
 */
export function followPublished(options: FollowOptions): Follower {
	const {
		source, clock, random, log, onView, onServerLost = () => undefined, onServerLeft = () => undefined, onReset = () => undefined, sleep = sleepUnlessAborted,
	} = options;
	const pace = toReadPace(options.actWithinMs);
	const fleet = createPublishedFleet({
		zones: options.zones,
		onKeptBack({entry: {id}, sequence, leaving}) {
			log.info('older entry of a server came late and is kept back', {server: id, sequence, state: leaving ? 'leaving' : 'serving'});
		},
	});
	const stopping = new AbortController();
	let view: FleetView | undefined;
	/** Position up to which this host has read; `undefined` if a full read is due. */
	let position: PublishedPosition | undefined;
	/** Revision up to which the changes of servers were read beside a long answer. */
	let serversReadTo = -Infinity;
	/** Newest era named by any answer. */
	let era: PublishedEra | undefined;
	/** Whether the newest era was named by a failed answer only; the platform may not be back yet. */
	let isReturning = false;
	/** Number of consecutive answers that named an older era. */
	let staleAnswers = 0;
	const leavingSince = new Map<ServerId, Milliseconds>();
	let isConnected = false;
	let failures = 0;
	let answeredAt: Milliseconds | undefined;
	/** Start of the last failed read; bounds for how long the platform may have been back unnoticed. */
	let failedReadAt: Milliseconds | undefined;
	/** Last time at which the platform is known to have been away: the start of a read that timed out, or the end of one that was broken off. */
	let lastOutageSignAt: Milliseconds | undefined;

	function reportGone(id: ServerId): void {
		const entry = view?.accepted?.config.servers.find(server => server.id === id);
		const since = leavingSince.get(id);
		if (entry === undefined) {
			return;
		}

		if (since === undefined) {
			onServerLost(entry);
		} else {
			onServerLeft(entry, since);
		}
	}

	function noteAnnounced({id, became}: FleetChange['servers'][number]): void {
		if (became === 'leaving' && !leavingSince.has(id)) {
			leavingSince.set(id, clock.now());
		} else if (became === 'serving' || became === 'gone') {
			leavingSince.delete(id);
		}
	}

	/** A server that announces and is gone in the same read had announced nothing before. */
	function reportEnds({servers}: FleetChange): void {
		for (const {id} of servers.filter(({became}) => became === 'gone')) {
			reportGone(id);
		}

		for (const change of servers) {
			noteAnnounced(change);
		}
	}

	function report(change: FleetChange): void {
		logFleetChange(log, change, position?.revision);
		reportEnds(change);
		if (view === undefined || change.rules !== undefined || change.servers.length > 0) {
			view = fleet.toView(clock.now());
			onView(view);
		}
	}

	/** Whether a change was not yet applied by a read beside a long answer. Later ones of the same server may have been, so it must not be applied again. */
	const isNew = ({kind, revision}: PublishedChange): boolean => kind === 'rules' || kind === 'unreadable-rules' || revision === undefined || revision > serversReadTo;

	/** Applies a read of the servers that was made while a long answer arrived. */
	function acceptServers({changes, position: {era: readEra, revision}}: PublishedRead): boolean {
		if (compareEras(readEra, era) !== 'same') {
			return false;
		}

		report(fleet.apply(changes.filter(change => isNew(change)), clock.now()));
		serversReadTo = revision;
		return true;
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

		// The first of several failed reads may only have been a watch that was broken off, which says nothing about the platform.
		const context = {failedAttemptAt: failures > 1 ? failedReadAt : undefined};
		failures = 0;
		answeredAt = now;
		failedReadAt = undefined;
		lastOutageSignAt = undefined;
		if (isWhole && fleet.fullReadAt() !== undefined) {
			logWholeRead(log, read, fleet.countDifferences(read.changes));
		}

		report(isWhole ? fleet.replace(read.changes, now, context) : fleet.apply(read.changes.filter(change => isNew(change)), now, context));
		report(fleet.sweep(now));
	}

	/**
	 * Shortens a wait so that it ends with the grace period of missing servers, and a
	 * fresh read decides whether they are gone. Otherwise the end of the period would
	 * be noticed late, by up to a watch and its pause, and requests would fail at a
	 * server that has ended meanwhile.
	 */
	function toWaitMs(maxMs: Milliseconds): Milliseconds {
		const missingUntil = fleet.missingUntil();
		const missingLeftMs = missingUntil === undefined ? Infinity : Math.min(maxWaitWhileMissingMs, Math.ceil(missingUntil - clock.now()));
		const toWholeReadMs = Math.ceil((fleet.fullReadAt() ?? Infinity) - clock.now());
		return Math.min(maxMs, Math.max(1, Math.min(missingLeftMs, toWholeReadMs)));
	}

	/**
	 * Pause after a read that took some time beyond its wait; the pause is shorter by
	 * this, as a long answer must not delay the next read. Reads again soon while there
	 * are no rules: without them no request can be served, and they may be published at
	 * any moment.
	 */
	const toPauseAfterRead = (transferMs: Milliseconds): Milliseconds => Math.max(0, (view?.accepted === undefined ? minPauseMs : pace.pauseMs) - transferMs);

	/** Lists everything, or watches from the position reached. */
	function readNext(signal: AbortSignal, {isWhole, waitMs}: {isWhole: boolean; waitMs: Milliseconds}): ReturnType<PublishedSource['list']> {
		if (isWhole || position === undefined) {
			return source.list(signal);
		}

		return new ResultAsync(watchWithServers(position, waitMs, signal));
	}

	/** Watches from a position, and follows the servers alone while a long answer arrives. */
	async function watchWithServers(after: PublishedPosition, waitMs: Milliseconds, signal: AbortSignal): Promise<Awaited<ReturnType<PublishedSource['watch']>>> {
		const over = new AbortController();
		let beside: Promise<void> | undefined;
		const read = await source.watch(after, waitMs, signal, {
			onLong() {
				log.info('a long answer of the platform arrives, reading the servers beside it', {revision: after.revision});
				beside = followServersBeside(after, AbortSignal.any([signal, over.signal]), {
					source, log, waitMs: pace.waitMs, pauseMs: pace.pauseMs, sleep, onRead: acceptServers,
				});
			},
		});
		over.abort();
		await beside;
		return read;
	}

	async function handleFailure({kind, message, silentMs}: PublishedFailure, {startedAt, isUnanswered, isWhole}: {startedAt: Milliseconds; isUnanswered: boolean; isWhole: boolean}): Promise<void> {
		if (kind === 'forgotten') {
			log.warn('platform no longer knows what changed, reading all anew', {revision: position?.revision, reason: message});
			position = undefined;
			return;
		}

		// The same changes would be too long again, while a full read comes in pages.
		if (kind === 'too-large' && !isWhole) {
			log.warn('changes are too long for one answer, reading all anew', {revision: position?.revision, reason: message});
			position = undefined;
			return;
		}

		if (isConnected) {
			isConnected = false;
			log.warn('platform does not answer', {revision: position?.revision, kind, reason: message});
		}

		failures++;
		failedReadAt = startedAt;
		lastOutageSignAt = silentMs === undefined && isUnanswered ? startedAt : clock.now() - (silentMs ?? 0);
		await sleep(toRetryDelayMs(failures, random), stopping.signal);
	}

	/**
	 * Returns the time by which this host must act on the platform's content after the
	 * platform has come back from a copy. The return was after the last sign of the
	 * outage or, without one, after the last answer. For what was written since that
	 * answer the usual time applies, but a server that was missing before the answer
	 * had left earlier. A process that was suspended can't tell when the platform came
	 * back, and gets no bound here.
	 */
	function toLatestActAt(startedAt: Milliseconds): Milliseconds {
		if (lastOutageSignAt !== undefined) {
			return lastOutageSignAt + returnDeadlineMs;
		}

		const wasSuspended = answeredAt === undefined || startedAt - answeredAt > 2 * maxReadPauseMs;
		const sinceAnswerMs = fleet.missingUntil() === undefined ? Math.max(returnDeadlineMs, options.actWithinMs - requestTransitMs) : returnDeadlineMs;
		return wasSuspended ? Infinity : answeredAt! + sinceAnswerMs;
	}

	/** Starts a new era and discards the position, as the platform reuses the revisions of the lost era for other changes. */
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
		serversReadTo = -Infinity;
		isReturning = answeredAt !== undefined && answered === undefined;
		position = undefined;
	}

	/** Whether the answer may be used. An answer of an older era is late; an answer of a newer era is usable only if it is a full read. */
	function isUsable(answer: Answer): boolean {
		const order = compareEras(answer.era, era);
		staleAnswers = order === 'older' ? staleAnswers + 1 : 0;
		const isNewEra = order === 'newer' || staleAnswers > maxStaleAnswers;
		if (isNewEra) {
			startEra(answer.era!, answer);
		}

		return order === 'same' || (isNewEra && answer.isWhole);
	}

	/** Spreads the full reads of all hosts, which notice the platform's return at the same time. */
	async function pauseBeforeReset(signal: AbortSignal): Promise<void> {
		await sleep(random() * resetSpreadMs, signal);
	}

	async function readOnce(signal: AbortSignal): Promise<void> {
		const startedAt = clock.now();
		const isWhole = position === undefined || startedAt >= (fleet.fullReadAt() ?? Infinity);
		// After a failed read, the watch returns at once: it only has to show whether the platform answers.
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
			await (isReturn ? pauseBeforeReset(signal) : handleFailure(read.error, {startedAt, isUnanswered, isWhole}));
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
		const transferMs = Math.max(0, clock.now() - startedAt - (isWhole ? 0 : waitMs));
		await sleep(toWaitMs(toPauseAfterRead(transferMs)), signal);
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
