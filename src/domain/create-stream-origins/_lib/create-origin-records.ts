/** What one host knows of the origins of streams, for a limited time. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type KnownOrigin, type OriginRecord, type StreamKey} from '../../../ports/stream-origins.js';
import {isSameOrigin} from '../../create-stream-binding/index.js';

export type OriginRecords = {
	/** Adds a record, or makes it last longer; a second origin makes the record ambiguous. */
	add: (record: OriginRecord, now: Milliseconds) => void;
	/** What is known of a stream; `undefined` without a record. */
	toKnown: (key: StreamKey, now: Milliseconds) => KnownOrigin | undefined;
	size: () => number;
};

type Entry = {known: KnownOrigin; until: Milliseconds};

function merge(before: KnownOrigin | undefined, {origin}: OriginRecord): KnownOrigin {
	if (before === undefined) {
		return origin;
	}

	return before !== 'ambiguous' && isSameOrigin(before, origin) ? before : 'ambiguous';
}

/**
 * Creates empty records.
 *
 * @param maxRecords - Bound on records; beyond it the oldest are dropped, so that a flood of request ids can't exhaust the memory.
 * @returns See {@link OriginRecords}; `now` is monotonic milliseconds.
 */
export function createOriginRecords(maxRecords: number): OriginRecords {
	/** In the order in which the records were last added. */
	const entries = new Map<StreamKey, Entry>();

	function toKnown(key: StreamKey, now: Milliseconds): KnownOrigin | undefined {
		const entry = entries.get(key);
		return entry !== undefined && now < entry.until ? entry.known : undefined;
	}

	function dropOldest(now: Milliseconds): void {
		for (const [key, {until}] of entries) {
			if (now < until && entries.size <= maxRecords) {
				return;
			}

			entries.delete(key);
		}
	}

	return {
		add(record, now) {
			const {key, lifeMs} = record;
			const known = merge(toKnown(key, now), record);
			const until = Math.max(now + lifeMs, entries.get(key)?.until ?? -Infinity);
			entries.delete(key);
			entries.set(key, {known, until});
			dropOldest(now);
		},
		toKnown,
		size: () => entries.size,
	};
}
