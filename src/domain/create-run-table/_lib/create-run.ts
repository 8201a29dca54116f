import {createDeferred, type Deferred} from '../../../_lib/create-deferred/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type RunEnd, type RunPart, type RunReader} from '../types.js';

/** Size up to which pieces are joined into one read, so that many small pieces take one turn of the event loop. */
const portionBytes = 65_536;

export type RunLimits = {
	maxRunBytes: number;
	highWaterBytes: number;
};

/** The answer of one run, and its reader. */
export type RunRecord = {
	digest: string;
	writeHead: (status: number, headers: Readonly<Record<string, string | readonly string[]>>) => void;
	write: (bytes: Uint8Array) => boolean;
	drained: () => Promise<void>;
	finish: (end: RunEnd, now: Milliseconds) => void;
	/** Opens a reader and ends the previous one; `undefined` when the answer is no longer kept from its start. */
	read: (now: Milliseconds) => RunReader | undefined;
	/** Drops the answer; a reader that has not reached the end gets `broken`. */
	drop: () => void;
	hasReader: () => boolean;
	bytes: () => number;
	endedAt: () => Milliseconds | undefined;
	/** Since when there is no reader; `undefined` while there is one. */
	unreadSince: () => Milliseconds | undefined;
};

function joinBytes(pieces: readonly Uint8Array[]): Uint8Array {
	if (pieces.length === 1) {
		return pieces[0]!;
	}

	const joined = new Uint8Array(pieces.reduce((sum, piece) => sum + piece.length, 0));
	let at = 0;
	for (const piece of pieces) {
		joined.set(piece, at);
		at += piece.length;
	}

	return joined;
}

/**
 * Creates the record of one run.
 *
 * @param digest - Digest of the request's body.
 * @param limits - Bytes kept and bytes unread.
 * @param startedAt - Monotonic milliseconds.
 * @returns Functions for the writer's side and for readers.
 */
export function createRun(digest: string, {maxRunBytes, highWaterBytes}: RunLimits, startedAt: Milliseconds): RunRecord {
	let head: RunPart | undefined;
	let pieces: Uint8Array[] = [];
	/** Index of the first piece still kept; above 0 the answer cannot be read from its start. */
	let firstHeld = 0;
	let bytes = 0;
	let end: RunEnd | undefined;
	let endedAt: Milliseconds | undefined;
	let unreadSince: Milliseconds | undefined = startedAt;
	let isDropped = false;
	let reader: {isOpen: boolean; nextPiece: number; unread: number} | undefined;
	let changed: Deferred<void> = createDeferred();

	function signal() {
		changed.resolve();
		changed = createDeferred();
	}

	/** Drops pieces of an answer beyond the bound that its reader no longer needs. */
	function trim() {
		const needed = reader?.isOpen ? reader.nextPiece : Number.POSITIVE_INFINITY;
		while (bytes > maxRunBytes && pieces.length > 0 && firstHeld < needed) {
			bytes -= pieces.shift()!.length;
			firstHeld++;
		}
	}

	function isBehind(): boolean {
		return reader !== undefined && reader.isOpen && reader.unread >= highWaterBytes;
	}

	function takePieces(cursor: {nextPiece: number; unread: number}): Uint8Array {
		const taken: Uint8Array[] = [];
		let size = 0;
		while (cursor.nextPiece - firstHeld < pieces.length && size < portionBytes) {
			const piece = pieces[cursor.nextPiece - firstHeld]!;
			taken.push(piece);
			size += piece.length;
			cursor.nextPiece++;
		}

		cursor.unread -= size;
		trim();
		signal();
		return joinBytes(taken);
	}

	function read(now: Milliseconds): RunReader | undefined {
		if (isDropped || firstHeld > 0) {
			return undefined;
		}

		if (reader !== undefined) {
			reader.isOpen = false;
		}

		const cursor = {isOpen: true, nextPiece: 0, unread: bytes};
		reader = cursor;
		unreadSince = undefined;
		let isHeadRead = false;
		signal();

		async function next(): Promise<RunPart> {
			for (;;) {
				if (!cursor.isOpen) {
					return {kind: 'taken-over'};
				}

				if (!isHeadRead && head !== undefined) {
					isHeadRead = true;
					return head;
				}

				if (isDropped) {
					return {kind: 'end', end: 'broken'};
				}

				if (cursor.nextPiece - firstHeld < pieces.length) {
					return {kind: 'bytes', bytes: takePieces(cursor)};
				}

				if (end !== undefined) {
					return {kind: 'end', end};
				}

				await changed.promise;
			}
		}

		return {
			next,
			close(closedAt) {
				if (cursor.isOpen) {
					cursor.isOpen = false;
					unreadSince = Math.max(closedAt, now);
					trim();
					signal();
				}
			},
		};
	}

	return {
		digest,
		read,
		writeHead(status, headers) {
			if (head === undefined && end === undefined) {
				head = {kind: 'head', status, headers};
				signal();
			}
		},
		write(piece) {
			if (end !== undefined || piece.length === 0) {
				return true;
			}

			pieces.push(piece);
			bytes += piece.length;
			if (reader !== undefined) {
				reader.unread += piece.length;
			}

			trim();
			signal();
			return !isBehind();
		},
		async drained() {
			while (isBehind()) {
				await changed.promise;
			}
		},
		finish(how, now) {
			if (end === undefined) {
				end = how;
				endedAt = now;
				signal();
			}
		},
		drop() {
			isDropped = true;
			pieces = [];
			bytes = 0;
			signal();
		},
		hasReader: () => reader?.isOpen ?? false,
		bytes: () => bytes,
		endedAt: () => endedAt,
		unreadSince: () => unreadSince,
	};
}
