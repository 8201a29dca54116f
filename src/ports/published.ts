/**
 * What a platform publishes where servers and rules come one by one instead of
 * in one document: its rules as a whole, and each backend server by itself. The
 * platform is read and watched, never written.
 */
import {type ResultAsync} from 'neverthrow';
import {type Milliseconds} from './clock.js';
import {
	type CallerBounds, type PoolEntry, type Rule, type ServerEntry,
} from './config.js';
import {type PlatformFailure} from './platform.js';

/** Limit of a read, and of what a watch may take beyond its wait: a hundred times the platform's usual answer, and twice that of one sixty times as slow. */
export const platformTimeoutMs: Milliseconds = 500;

export type PublishedRules = {
	/** Grows with each publication. */
	version: number;
	/** The first that matches decides. */
	rules: readonly Rule[];
	pools: readonly PoolEntry[];
	callers: CallerBounds | undefined;
};

/** Name under which a platform publishes a server; a server that starts again may keep it. */
export type PublishedName = string;

export type PublishedServer = {
	name: PublishedName;
	/** Wall-clock milliseconds of its start; 0 where the platform does not tell. */
	startedAt: Milliseconds;
	/** Its `id` names this one start: what is known of a server ends with it. */
	entry: ServerEntry;
	/** It gets nothing new. */
	leaving: boolean;
};

export type PublishedChange =
	| {kind: 'rules'; rules: PublishedRules}
	| {kind: 'server'; server: PublishedServer}
	| {kind: 'server-gone'; name: PublishedName}
	/** Rules that can't be read; those known before stay in force. */
	| {kind: 'unreadable-rules'; reason: string}
	/** A server's entry that can't be read: it names no server to use. */
	| {kind: 'unreadable-server'; name: PublishedName; reason: string};

/**
 * Counts how often the platform came back from a copy that was older than what it
 * had acknowledged. Each time its revisions go back and are given out again.
 */
export type PublishedEra = number;

/** How far a read reaches. Revisions say which is newer only within one era. */
export type PublishedPosition = {
	/** `undefined` where the platform does not count them. */
	era: PublishedEra | undefined;
	revision: number;
};

export type PublishedRead = {
	changes: readonly PublishedChange[];
	/** Position up to which the changes reach. */
	position: PublishedPosition;
};

export type PublishedFailure = {
	/** `forgotten`: changes since the revision asked for are no longer known; everything must be read again. */
	kind: PlatformFailure['kind'] | 'forgotten';
	message: string;
	/** Named by the answer, if there was one. */
	era?: PublishedEra | undefined;
};

export type PublishedSource = {
	/** Reads everything. */
	list: (signal: AbortSignal) => ResultAsync<PublishedRead, PublishedFailure>;
	/** Waits for changes after a position; none when the wait is over. */
	watch: (after: PublishedPosition, waitMs: Milliseconds, signal: AbortSignal) => ResultAsync<PublishedRead, PublishedFailure>;
	close: () => Promise<void>;
};
