import {type Result} from 'neverthrow';
import {type Milliseconds} from '../../ports/clock.js';
import {type ScopedKey} from '../create-claim-witness/index.js';

/**
 * How a run ended.
 *
 * - `complete`: its answer is complete, either a result or a final refusal.
 * - `broken`: the answer was cut off; readers must break their connection. The key is free again if the work is repeatable.
 * - `retryable`: nothing was dispatched, or the work may be run again. Readers get the part that was written; the key is free again.
 */
export type RunEnd = 'complete' | 'broken' | 'retryable';

/** A piece of an answer, in order from its head. */
export type RunPart =
	| {kind: 'head'; status: number; headers: Readonly<Record<string, string | readonly string[]>>}
	| {kind: 'bytes'; bytes: Uint8Array}
	| {kind: 'end'; end: RunEnd}
	/** Another connection has taken the delivery over; this one must end without a whole answer. */
	| {kind: 'taken-over'};

/** Writes the answer of a run that this process dispatches. */
export type RunWriter = {
	writeHead: (status: number, headers: Readonly<Record<string, string | readonly string[]>>) => void;
	/** Writes a piece; returns `false` to ask the writer to wait for {@link RunWriter.drained}. */
	write: (bytes: Uint8Array) => boolean;
	/** Resolves once the reader has caught up, is closed, or another has joined. */
	drained: () => Promise<void>;
	/** Ends the run. Later calls change nothing. */
	end: (end: RunEnd, now: Milliseconds) => void;
	hasReader: () => boolean;
};

/** Reads an answer for one connection, from its first byte. */
export type RunReader = {
	/** Waits for the next piece and returns it. After `end` or `taken-over` the same part is returned again. */
	next: () => Promise<RunPart>;
	/** Ends the reader when its connection has closed. */
	close: (now: Milliseconds) => void;
};

/**
 * Why a run cannot be joined.
 *
 * - `unknown`: the key is not in the table.
 * - `other-body`: the key was used with another request body.
 * - `not-kept`: the answer is no longer kept from its first byte.
 * - `broken`: the answer was cut off, and the work may not be run again.
 */
export type JoinFault = 'unknown' | 'other-body' | 'not-kept' | 'broken';

export type StartRunOptions = ScopedKey & {
	digest: string;
	isRepeatable: boolean;
	/** Called once when the run has had no reader for longer than `abandonAfterMs`. */
	onAbandoned?: () => void;
};

export type RunTableOptions = {
	/** Maximum number of runs and tombstones; at the maximum no run starts. 50,000 by default. */
	maxRuns?: number;
	/** Size of an answer up to which it can be joined from its start; 8 MiB by default. */
	maxRunBytes?: number;
	/** Maximum size of all ended answers together; the oldest are dropped first. 128 MiB by default. */
	maxKeptBytes?: number;
	/** Time for which an ended answer is kept; 15 minutes by default. */
	answerRetentionMs?: Milliseconds;
	/**
	 * Time for which the tombstone of an ended run is kept, which says that the key ran
	 * here. It is longer than witnesses accept the key, so that an unknown key is one
	 * that did not run; 25 minutes by default.
	 */
	tombstoneRetentionMs?: Milliseconds;
	/** Time without a reader after which a run counts as abandoned; 1 second by default. */
	abandonAfterMs?: Milliseconds;
	/** Number of unread bytes from which the writer is asked to wait; 256 KiB by default. */
	highWaterBytes?: number;
};

export type RunTable = {
	/** Starts a run; `exists` when the key is in the table, `full` at the maximum number of runs. */
	start: (run: StartRunOptions, now: Milliseconds) => Result<RunWriter, 'exists' | 'full'>;
	/** Reads a run from its first byte and ends any other connection that read it. */
	join: (run: ScopedKey & {digest: string}, now: Milliseconds) => Result<RunReader, JoinFault>;
	has: (key: ScopedKey) => boolean;
	/** Drops answers and tombstones that are too old and reports abandoned runs; to be called about every second. */
	sweep: (now: Milliseconds) => void;
	stats: () => {runs: number; keptBytes: number};
};
