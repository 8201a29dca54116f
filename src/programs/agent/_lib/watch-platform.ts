/**
 * Watches one value of the platform: reads the value, then waits for its next
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
	/** Longest wait of one watch, milliseconds. */
	waitMs: Milliseconds;
	/**
	 * Validates a value. Resolves to `refused` when the value is not held afterwards,
	 * and to `unfinished` when parts of it are still missing; in both cases the value
	 * is read again, see {@link createRereadSchedule}.
	 */
	onValue: (value: PlatformValue) => Promise<ValueVerdict>;
	/** Called when the platform has answered; `askedAt` is the monotonic time at which the read was sent. */
	onConfirmed: (askedAt: Milliseconds) => void;
	onFailure: (failure: PlatformFailure) => void;
	/** Called before each read, to count reads against the budget. */
	onRead: () => void;
	now: () => Milliseconds;
	random: Random;
	signal: AbortSignal;
};

/**
 * Watches until the signal aborts.
 *
 * @param options - See {@link WatchOptions}.
 */
export async function watchPlatform(options: WatchOptions): Promise<void> {
	const {platform, key, isReader, random, signal, now} = options;
	let backoffMs = firstBackoffMs;
	// Revision that the platform served last, whether its value was accepted or not.
	// A watch since any other revision would return a refused document again at once.
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

		// Limits the rate of reads when publications follow each other quickly, and while the value was never published.
		await waitFor(minReadGapMs * (0.5 + random()), signal);
	}
}
