/**
 * Follows one value of the platform: reads it, then waits for its next
 * revision, with jittered backoff while the platform fails.
 */
import {waitFor} from '../../../_lib/wait-for/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {
	type Platform, type PlatformFailure, type PlatformKey, type PlatformValue,
} from '../../../ports/platform.js';
import {createRereadSchedule, type ValueVerdict} from './create-reread-schedule.js';

const firstBackoffMs = 250;
const maxBackoffMs = 15_000;
const minReadGapMs = 250;
const readerCheckMs = 1000;

export type WatchOptions = {
	platform: Platform;
	key: PlatformKey;
	/** Whether this host is one of its zone's readers now. */
	isReader: () => boolean;
	/** Longest wait of one watching read, milliseconds. */
	waitMs: Milliseconds;
	/**
	 * Judges a value. `refused` when it is not what is held afterwards, and
	 * `unfinished` when it could be once parts of it are there; it is then read
	 * again, see {@link createRereadSchedule}.
	 */
	onValue: (value: PlatformValue) => Promise<ValueVerdict>;
	/** The platform answered; `askedAt` is when it was asked, monotonic. */
	onConfirmed: (askedAt: Milliseconds) => void;
	onFailure: (failure: PlatformFailure) => void;
	/** Counts reads, for the budget. */
	onRead: () => void;
	now: () => Milliseconds;
	random: Random;
	signal: AbortSignal;
};

/**
 * Runs until the signal aborts.
 *
 * @param options - See {@link WatchOptions}.
 */
export async function watchPlatform(options: WatchOptions): Promise<void> {
	const {platform, key, isReader, random, signal, now} = options;
	let backoffMs = firstBackoffMs;
	// What the platform itself served last, accepted or not: waiting for anything
	// else would ask again at once for a document that was refused.
	let seenRevision: number | undefined;
	const reread = createRereadSchedule(now);

	while (!signal.aborted) {
		if (!isReader()) {
			await waitFor(readerCheckMs * (0.5 + random()), signal);
			continue;
		}

		const askedAt = now();
		options.onRead();
		const result = seenRevision === undefined
			? await platform.read(key)
			: await platform.watch(key, seenRevision, reread.limit(options.waitMs) * (0.5 + (random() / 2)), signal);
		if (signal.aborted) {
			return;
		}

		if (result.isErr()) {
			options.onFailure(result.error);
			await waitFor(backoffMs * (0.5 + random()), signal);
			backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
			continue;
		}

		backoffMs = firstBackoffMs;
		options.onConfirmed(askedAt);
		if (result.value) {
			seenRevision = result.value.revision;
			reread.note(await options.onValue(result.value));
		} else if (reread.isDue()) {
			seenRevision = undefined;
		}

		// Publications that come one upon the other, and values that were never published, are read no faster than this.
		await waitFor(minReadGapMs * (0.5 + random()), signal);
	}
}
