import {type Result} from 'neverthrow';
import {type Milliseconds} from '../../ports/clock.js';
import {type ScopedKey} from '../create-claim-witness/index.js';

/**
 * How a run ended.
 *
 * - `complete`: its answer is whole, be it a result or a final refusal.
 * - `broken`: the answer was cut; readers must break their connection. The key is free again if the work is repeatable.
 * - `retryable`: nothing was dispatched, or it may be run again. Readers get what was written; the key is free again.
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
	/** `false` asks to wait for {@link RunWriter.drained}. */
	write: (bytes: Uint8Array) => boolean;
	/** Resolves once the reader has caught up, is gone, or another has joined. */
	drained: () => Promise<void>;
	/** Ends the run. Later calls change nothing. */
	end: (end: RunEnd, now: Milliseconds) => void;
	hasReader: () => boolean;
};

/** One connection's way through an answer, from its first byte. */
export type RunReader = {
	/** The next piece; waits for it. After `end` or `taken-over` the same is returned again. */
	next: () => Promise<RunPart>;
	/** The connection is gone. */
	close: (now: Milliseconds) => void;
};

/**
 * Why a run cannot be joined.
 *
 * - `unknown`: no such key here.
 * - `other-body`: the key names other work.
 * - `not-kept`: it ran, and its answer is no longer kept from the first byte.
 * - `broken`: it was broken off, and may not be run again.
 */
export type JoinFault = 'unknown' | 'other-body' | 'not-kept' | 'broken';

export type StartRunOptions = ScopedKey & {
	digest: string;
	isRepeatable: boolean;
	/** Nobody has read for longer than `abandonAfterMs`, or an answer outgrew what is kept with nobody there. */
	onAbandoned?: () => void;
};

export type RunTableOptions = {
	/** Runs and their traces at most; at the bound no run starts. 50,000 by default. */
	maxRuns?: number;
	/** Bytes of one answer up to which it can be joined from its start; 8 MiB by default. */
	maxRunBytes?: number;
	/** Bytes of all ended answers; the oldest are dropped first. 128 MiB by default. */
	maxKeptBytes?: number;
	/** Time for which an ended answer is kept; 15 minutes by default. */
	answerRetentionMs?: Milliseconds;
	/**
	 * Time for which the trace of a run is kept: that the key ran here. Longer than
	 * any witness takes the key, so that an unknown key is one that did not run;
	 * 25 minutes by default.
	 */
	tombstoneRetentionMs?: Milliseconds;
	/** Time without a reader after which a run counts as abandoned; 1 second by default. */
	abandonAfterMs?: Milliseconds;
	/** Unread bytes from which a writer is asked to wait; 256 KiB by default. */
	highWaterBytes?: number;
};

export type RunTable = {
	/** Begins a run; `exists` when the key is in the table, `full` at the bound. */
	start: (run: StartRunOptions, now: Milliseconds) => Result<RunWriter, 'exists' | 'full'>;
	/** Reads a run from its first byte and ends any other connection that read it. */
	join: (run: ScopedKey & {digest: string}, now: Milliseconds) => Result<RunReader, JoinFault>;
	has: (key: ScopedKey) => boolean;
	/** Drops what is too old and tells abandoned runs; to be called every second or so. */
	sweep: (now: Milliseconds) => void;
	stats: () => {runs: number; keptBytes: number};
};
