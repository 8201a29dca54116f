/**
 * Port to a platform that publishes its rules as one value and each backend
 * server as a value of its own, instead of everything in one document. The
 * platform is read and watched, never written.
 */
import {type ResultAsync} from 'neverthrow';
import {type Milliseconds} from './clock.js';
import {
	type CallerBounds, type Config, type PoolEntry, type Rule, type ServerEntry,
} from './config.js';
import {type PlatformFailure} from './platform.js';

/** Time to the first byte of a read, beyond the wait of a watch, and longest pause between two bytes of it. A hundred times the platform's usual response time, and twice the response time of a platform that is sixty times as slow. */
export const platformTimeoutMs: Milliseconds = 500;

export type PublishedRules = {
	/** Grows with each publication. */
	version: number;
	/** The first rule that matches a request applies. */
	rules: readonly Rule[];
	pools: readonly PoolEntry[];
	callers: CallerBounds | undefined;
	/** Keys and terms of workspaces; absent where callers need no key. */
	workspaces?: Required<Pick<Config, 'callerTokens' | 'workspaces'>>;
};

/** Name under which a platform publishes a server; a restarted server may have the same name. */
export type PublishedName = string;

export type PublishedServer = {
	name: PublishedName;
	/** Wall-clock milliseconds of the server's start; 0 where the platform does not publish it. */
	startedAt: Milliseconds;
	/** Number that the server gave this write of its entry; it grows with each write of one start. Absent where the platform publishes none. */
	sequence?: number;
	/** The `id` of the entry identifies this start of the server, so that nothing known of an earlier start is applied to it. */
	entry: ServerEntry;
	/** Whether the server drains: no new work is sent to it. */
	leaving: boolean;
};

export type PublishedChange = PublishedContent & {
	/** Revision at which this was written. */
	revision?: number;
};

export type PublishedContent =
	| {kind: 'rules'; rules: PublishedRules}
	| {kind: 'server'; server: PublishedServer}
	| {kind: 'server-gone'; name: PublishedName}
	/** The published rules can't be parsed; the rules before them stay in force. */
	| {kind: 'unreadable-rules'; reason: string}
	/** A server's published entry can't be parsed, so the server can't be used. */
	| {kind: 'unreadable-server'; name: PublishedName; reason: string};

/**
 * Number of times that the platform was restored from a copy older than what it
 * had acknowledged. After each restore its revisions start at a lower number and
 * are assigned a second time.
 */
export type PublishedEra = number;

/** Position in the platform's history. Revisions can be compared only within one era. */
export type PublishedPosition = {
	/** `undefined` where the platform does not count eras. */
	era: PublishedEra | undefined;
	revision: number;
};

export type PublishedRead = {
	changes: readonly PublishedChange[];
	/** Position of the last change. */
	position: PublishedPosition;
};

export type PublishedFailure = {
	/** `forgotten`: the platform no longer has the changes since the requested revision; everything must be read again. */
	kind: PlatformFailure['kind'] | 'forgotten';
	message: string;
	/** Era stated in the platform's answer; absent when there was no answer. */
	era?: PublishedEra | undefined;
	/** Time for which the platform had sent nothing when the read was given up; absent for any other failure. */
	silentMs?: Milliseconds;
};

export type WatchOptions = {
	/** Called once if the answer is so long that it may take a second on a slow link. */
	onLong?: () => void;
};

export type PublishedSource = {
	/** Reads everything. */
	list: (signal: AbortSignal) => ResultAsync<PublishedRead, PublishedFailure>;
	/** Waits for changes after a position; returns no changes when the wait ends first. */
	watch: (after: PublishedPosition, waitMs: Milliseconds, signal: AbortSignal, options?: WatchOptions) => ResultAsync<PublishedRead, PublishedFailure>;
	/** Waits for changes of servers alone. */
	watchServers: (after: PublishedPosition, waitMs: Milliseconds, signal: AbortSignal) => ResultAsync<PublishedRead, PublishedFailure>;
	close: () => Promise<void>;
};
