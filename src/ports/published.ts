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
import {type ServerId} from './ids.js';
import {type PlatformFailure} from './platform.js';

export type PublishedRules = {
	/** Grows with each publication. */
	version: number;
	/** The first that matches decides. */
	rules: readonly Rule[];
	pools: readonly PoolEntry[];
	callers: CallerBounds | undefined;
};

export type PublishedServer = {
	entry: ServerEntry;
	/** It gets nothing new. */
	leaving: boolean;
};

export type PublishedChange =
	| {kind: 'rules'; rules: PublishedRules}
	| {kind: 'server'; server: PublishedServer}
	| {kind: 'server-gone'; id: ServerId}
	/** Something that can't be read; what was known before stays in force. */
	| {kind: 'unreadable'; key: string; reason: string};

export type PublishedRead = {
	changes: readonly PublishedChange[];
	/** Revision up to which the changes reach. */
	revision: number;
};

export type PublishedFailure = {
	/** `forgotten`: changes since the revision asked for are no longer known; everything must be read again. */
	kind: PlatformFailure['kind'] | 'forgotten';
	message: string;
};

export type PublishedSource = {
	/** Reads everything. */
	list: (signal: AbortSignal) => ResultAsync<PublishedRead, PublishedFailure>;
	/** Waits for changes after a revision; none when the wait is over. */
	watch: (after: number, waitMs: Milliseconds, signal: AbortSignal) => ResultAsync<PublishedRead, PublishedFailure>;
	close: () => Promise<void>;
};
