/**
 * Keeps a host's view in step with a platform that publishes servers one by
 * one: a list first, then what changes.
 */
import {setTimeout as sleepOrThrow} from 'node:timers/promises';
import {toAge} from '../../../_lib/to-age/index.js';
import {type Log} from '../../../adapters/log/index.js';
import {createPublishedFleet, type FleetChange} from '../../../domain/create-published-fleet/index.js';
import {leastPauseMs, toReadPace} from '../../../domain/to-read-pace/index.js';
import {type Clock, type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ZoneEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {type PublishedFailure, type PublishedRead, type PublishedSource} from '../../../ports/published.js';
import {type FleetView} from '../../../ports/view.js';

export type FollowOptions = {
	source: PublishedSource;
	zones: readonly ZoneEntry[];
	clock: Clock;
	random: Random;
	log: Log;
	onView: (view: FleetView) => void;
	/** Time from a publication within which this host must act on it. */
	actWithinMs: Milliseconds;
	/** Resolves after the time, or once the signal aborts; timers of the process by default. */
	sleep?: (ms: Milliseconds, signal: AbortSignal) => Promise<void>;
};

export type Follower = {
	toView: () => FleetView | undefined;
	/** Whether the platform answered the last read. */
	isConnected: () => boolean;
	/** Time since the platform answered a read; `undefined` before the first. */
	answerAgeMs: () => Milliseconds | undefined;
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
const missingWaitMs = 300;

/** Longest pause after a read that failed by itself: it is usually its connection, and the next one is answered. */
const firstPauseMs = 100;

/**
 * Pause between two attempts while the platform does not answer, and what chance
 * adds, so that hosts that failed together don't come back together. With the
 * limit of an answer it bounds to 0.75 s how late the return of the platform is
 * noticed: what is missing then is used for 2.8 s from the return, and living
 * servers have two of them to publish themselves anew. 400 hosts that are all
 * refused read 1,800 times a second, of the 2,000 that the platform allows.
 */
const pauseMs = 200;
const pauseJitterMs = 50;

const toPauseMs = (failures: number, random: Random): Milliseconds =>
	failures === 1 ? random() * firstPauseMs : pauseMs + (random() * pauseJitterMs);

async function sleepUnlessAborted(ms: Milliseconds, signal: AbortSignal): Promise<void> {
	try {
		await sleepOrThrow(ms, undefined, {signal});
	} catch {
		// Only the stop of the process ends a pause early.
	}
}

/**
 * Starts to follow the platform.
 *
 * @param options - Where to read, and what to do with each view.
 * @returns The follower; its view is `undefined` until the first read.
 */
export function followPublished(options: FollowOptions): Follower {
	const {
		source, clock, random, log, onView, sleep = sleepUnlessAborted,
	} = options;
	const pace = toReadPace(options.actWithinMs);
	const fleet = createPublishedFleet({zones: options.zones});
	const stopping = new AbortController();
	let view: FleetView | undefined;
	let revision: number | undefined;
	let isConnected = false;
	let failures = 0;
	let answeredAt: Milliseconds | undefined;
	/** Start of the last read that failed: what tells how long the platform may have been back unnoticed. */
	let failedReadAt: Milliseconds | undefined;

	function report({rules, servers, unreadable}: FleetChange): void {
		const now = clock.now();
		if (rules !== undefined) {
			log.info('configuration in force', {edition: rules.version, rules: rules.rules.length, revision});
		}

		for (const {id, became} of servers) {
			log.info('server changed', {server: id, state: became, revision});
		}

		for (const {what, name, reason} of unreadable) {
			const message = what === 'rules' ? 'published rules can\'t be read, those known stay in force' : 'published server can\'t be read and is not used';
			log.error(message, {server: name, reason, revision});
		}

		if (view === undefined || rules !== undefined || servers.length > 0) {
			view = fleet.toView(now);
			onView(view);
		}
	}

	function take(read: PublishedRead): void {
		const isList = revision === undefined;
		revision = read.revision;
		const now = clock.now();
		if (!isConnected) {
			isConnected = true;
			log.info('platform answers', {
				revision, count: failures, silentMs: toAge(answeredAt, now), failedReadAgeMs: toAge(failedReadAt, now),
			});
		}

		// The first read that fails in a row may have been a watch that broke off.
		const context = {failedAttemptAt: failures > 1 ? failedReadAt : undefined};
		failures = 0;
		answeredAt = now;
		failedReadAt = undefined;
		report(isList ? fleet.replace(read.changes, now, context) : fleet.apply(read.changes, now, context));
		report(fleet.sweep(now));
	}

	/**
	 * Waits end when the time of missing servers does, so that a fresh read decides
	 * whether they stayed away. Looked at between reads as they came, the end was
	 * noticed up to a watch and its pause late, and callers' requests broke at a
	 * server that had ended meanwhile.
	 */
	function toWaitMs(longestMs: Milliseconds): Milliseconds {
		const missingUntil = fleet.missingUntil();
		const leftMs = missingUntil === undefined ? Infinity : Math.min(missingWaitMs, Math.ceil(missingUntil - clock.now()));
		return Math.min(longestMs, Math.max(1, leftMs));
	}

	/** Without rules nobody can be served: they may be published any moment. */
	const toPauseAfterRead = (): Milliseconds => view?.accepted === undefined ? leastPauseMs : pace.pauseMs;

	/** After a failed read the question is whether the platform answers at all: nothing is waited for. */
	function readNext(signal: AbortSignal): ReturnType<PublishedSource['list']> {
		if (revision === undefined) {
			return source.list(signal);
		}

		return source.watch(revision, failures > 0 ? 1 : toWaitMs(pace.waitMs), signal);
	}

	async function noteFailed({kind, message}: PublishedFailure, startedAt: Milliseconds): Promise<void> {
		if (kind === 'forgotten') {
			log.warn('platform no longer knows what changed, reading all anew', {revision, reason: message});
			revision = undefined;
			return;
		}

		if (isConnected) {
			isConnected = false;
			log.warn('platform does not answer', {revision, kind, reason: message});
		}

		failures++;
		failedReadAt = startedAt;
		await sleep(toPauseMs(failures, random), stopping.signal);
	}

	async function run(): Promise<void> {
		while (!stopping.signal.aborted) {
			const {signal} = stopping;
			const startedAt = clock.now();
			const read = await readNext(signal);
			if (signal.aborted) {
				return;
			}

			if (read.isErr()) {
				await noteFailed(read.error, startedAt);
			} else {
				take(read.value);
				await sleep(toWaitMs(toPauseAfterRead()), signal);
			}
		}
	}

	const done = run();
	return {
		toView: () => view,
		isConnected: () => isConnected,
		answerAgeMs: () => toAge(answeredAt, clock.now()),
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
