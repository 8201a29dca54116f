/**
 * Keeps the answers of requests with an idempotency key that run, or ran, on this
 * host, so that a second call with the same key gets the answer of the first.
 */
import {err, ok} from 'neverthrow';
import {
	bytesPerKibibyte, bytesPerMebibyte, msPerMinute, msPerSecond,
} from '../../ports/units.js';
import {type Milliseconds} from '../../ports/clock.js';
import {toScopedKey} from '../to-scoped-key/index.js';
import {createRun, type RunRecord} from './_lib/create-run.js';
import {type RunTable, type RunTableOptions, type RunWriter} from './types.js';

export type * from './types.js';

type Entry = {
	run: RunRecord;
	isRepeatable: boolean;
	isBroken: boolean;
	onAbandoned: (() => void) | undefined;
	isAbandoned: boolean;
	isKept: boolean;
};

/**
 * Creates the table of one process.
 *
 * A connection that joins a run reads from the first byte and takes the delivery
 * over: the earlier connection is ended, so that of two connections of one caller
 * only one gets a complete answer.
 *
 * @param options - Bounds in number, bytes and age.
 * @returns Functions on the table; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const runs = createRunTable();
 * const writer = runs.start({workspace, key, digest, isRepeatable: false}, now)._unsafeUnwrap();
 * const reader = runs.join({workspace, key, digest}, now)._unsafeUnwrap();
 * writer.writeHead(200, {'content-type': 'text/plain'});
 * writer.write(new TextEncoder().encode('Zdravo'));
 * writer.end('complete', now);
 * await reader.next(); // => {kind: 'head', status: 200, ...}
 * ```
 */
export function createRunTable({
	maxRuns = 50_000,
	maxRunBytes = 8 * bytesPerMebibyte,
	maxKeptBytes = 128 * bytesPerMebibyte,
	answerRetentionMs = 15 * msPerMinute,
	tombstoneRetentionMs = 25 * msPerMinute,
	abandonAfterMs = msPerSecond,
	highWaterBytes = 256 * bytesPerKibibyte,
}: RunTableOptions = {}): RunTable {
	/** Entries in the order of their start. */
	const entries = new Map<string, Entry>();
	let keptBytes = 0;

	function drop(entry: Entry) {
		if (entry.isKept) {
			entry.isKept = false;
			keptBytes -= entry.run.bytes();
			entry.run.drop();
		}
	}

	function keep(entry: Entry) {
		entry.isKept = true;
		keptBytes += entry.run.bytes();
		for (const other of entries.values()) {
			if (keptBytes <= maxKeptBytes) {
				return;
			}

			if (!other.run.hasReader()) {
				drop(other);
			}
		}
	}

	function toWriter(text: string, entry: Entry): RunWriter {
		const {run} = entry;
		return {
			writeHead: run.writeHead,
			write: run.write,
			drained: run.drained,
			hasReader: run.hasReader,
			end(how, now) {
				if (run.endedAt() !== undefined) {
					return;
				}

				run.finish(how, now);
				if (how === 'retryable' || (how === 'broken' && entry.isRepeatable)) {
					entries.delete(text);
					return;
				}

				entry.isBroken = how === 'broken';
				keep(entry);
			},
		};
	}

	function sweepEntry(text: string, entry: Entry, now: Milliseconds) {
		const endedAt = entry.run.endedAt();
		const unreadSince = entry.run.unreadSince();
		if (endedAt === undefined) {
			if (!entry.isAbandoned && unreadSince !== undefined && now - unreadSince > abandonAfterMs) {
				entry.isAbandoned = true;
				entry.onAbandoned?.();
			}

			return;
		}

		if (now - endedAt > answerRetentionMs && !entry.run.hasReader()) {
			drop(entry);
		}

		if (now - endedAt > tombstoneRetentionMs) {
			drop(entry);
			entries.delete(text);
		}
	}

	return {
		start({onAbandoned, digest, isRepeatable, ...key}, now) {
			const text = toScopedKey(key);
			if (entries.has(text)) {
				return err('exists');
			}

			if (entries.size >= maxRuns) {
				return err('full');
			}

			const run = createRun(digest, {maxRunBytes, highWaterBytes}, now);
			const entry: Entry = {
				run, isRepeatable, isBroken: false, onAbandoned, isAbandoned: false, isKept: false,
			};
			entries.set(text, entry);
			return ok(toWriter(text, entry));
		},
		join({digest, ...key}, now) {
			const entry = entries.get(toScopedKey(key));
			if (entry === undefined) {
				return err('unknown');
			}

			if (entry.run.digest !== digest) {
				return err('other-body');
			}

			if (entry.isBroken) {
				return err('broken');
			}

			const reader = entry.run.read(now);
			return reader === undefined ? err('not-kept') : ok(reader);
		},
		has: key => entries.has(toScopedKey(key)),
		sweep(now) {
			for (const [text, entry] of entries) {
				sweepEntry(text, entry, now);
			}
		},
		stats: () => ({runs: entries.size, keptBytes}),
	};
}
