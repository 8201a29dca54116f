/**
 * Sends cancels of attempts to their servers. One task for each server retries
 * until the server confirms or is no longer part of the fleet.
 */
import {type ResultAsync} from 'neverthrow';
import {type AttemptKey, type EngineFailure} from '../../../ports/engine.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerId} from '../../../ports/ids.js';
import {msPerMinute} from '../../../ports/units.js';

export type CancelQueueOptions = {
	cancel: (server: ServerId, key: AttemptKey, timeoutMs: Milliseconds) => ResultAsync<void, EngineFailure>;
	/** Whether the server is no longer in the configuration. */
	isGone: (server: ServerId) => boolean;
	now: () => Milliseconds;
	random: Random;
	sleep: (ms: Milliseconds) => Promise<void>;
	onSettled?: (server: ServerId, key: AttemptKey, end: CancelEnd, tookMs: Milliseconds) => void;
	/** Maximum number of cancels kept for one server; the oldest is dropped first. */
	maxPerServer?: number;
};

/** `confirmed`: the server holds nothing of the attempt. With the other ends, the server's own expiry and the zone's agents release what it holds. */
export type CancelEnd = 'confirmed' | 'server-gone' | 'too-old' | 'displaced';

export type CancelQueue = {
	add: (server: ServerId, key: AttemptKey) => void;
	pending: () => number;
	/** Ends all tasks; pending cancels are left to the servers' own expiry and to the zone's agents. */
	stop: () => void;
	/** Resolves when no cancel is pending, or after the timeout. */
	settle: (timeoutMs: Milliseconds) => Promise<void>;
};

type PendingCancel = {
	key: AttemptKey;
	addedAt: Milliseconds;
};

const firstBackoffMs = 50;
const maxBackoffMs = 1000;
const callTimeoutMs = 1000;
const concurrentCalls = 8;
const defaultMaxPerServer = 10_000;
/** Age at which a cancel is dropped; by then, the server's own expiry has freed whatever it held. */
const maxAgeMs = 10 * msPerMinute;
const settlePollMs = 20;

/**
 * Creates the queue.
 *
 * @param options - The cancel call, clocks, and limits.
 * @returns The queue.
 */
export function createCancelQueue(options: CancelQueueOptions): CancelQueue {
	const {
		cancel, isGone, now, random, sleep, onSettled, maxPerServer = defaultMaxPerServer,
	} = options;
	const byServer = new Map<ServerId, PendingCancel[]>();
	const stopping = new AbortController();

	function settleOne(server: ServerId, item: PendingCancel, end: CancelEnd): void {
		onSettled?.(server, item.key, end, now() - item.addedAt);
	}

	/** Sends a batch of cancels concurrently, and returns those that have to be sent again. */
	async function sendBatch(server: ServerId, batch: readonly PendingCancel[]): Promise<PendingCancel[]> {
		const results = await Promise.all(batch.map(async item => cancel(server, item.key, callTimeoutMs)));
		return batch.filter((item, i) => {
			if (results[i]!.isOk()) {
				settleOne(server, item, 'confirmed');
				return false;
			}

			const end = isGone(server) ? 'server-gone' : (now() - item.addedAt > maxAgeMs ? 'too-old' : undefined);
			if (end !== undefined) {
				settleOne(server, item, end);
			}

			return end === undefined;
		});
	}

	/** Runs the task of one server, until nothing is left to cancel there. */
	async function serveServer(server: ServerId, items: PendingCancel[]): Promise<void> {
		let backoffMs = firstBackoffMs;
		while (items.length > 0 && !stopping.signal.aborted) {
			const batch = items.splice(0, concurrentCalls);
			const failed = await sendBatch(server, batch);
			if (failed.length === 0) {
				backoffMs = firstBackoffMs;
				continue;
			}

			items.push(...failed);
			await sleep(backoffMs * (0.5 + random()));
			backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
		}

		byServer.delete(server);
	}

	function pending(): number {
		let count = 0;
		for (const items of byServer.values()) {
			count += items.length;
		}

		// A batch in flight is no longer in its list, so each running task counts as one more.
		return count + byServer.size;
	}

	return {
		add(server, key) {
			const item = {key, addedAt: now()};
			const items = byServer.get(server);
			if (items === undefined) {
				const first = [item];
				byServer.set(server, first);
				void serveServer(server, first);
				return;
			}

			items.push(item);
			if (items.length > maxPerServer) {
				settleOne(server, items.shift()!, 'displaced');
			}
		},
		pending,
		stop() {
			stopping.abort();
		},
		async settle(timeoutMs) {
			const end = now() + timeoutMs;
			while (byServer.size > 0 && now() < end) {
				await sleep(settlePollMs);
			}
		},
	};
}
