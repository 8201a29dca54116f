import {setTimeout as sleep} from 'node:timers/promises';
import {type PeerConnection} from '../../../../adapters/peer-tcp/index.js';
import {type RunPart, type RunReader} from '../../../../domain/create-run-table/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type ReadReply} from './messages.js';

/** Time for which a read is held while there is nothing new. */
const longPollMs = 5 * msPerSecond;
/** Time without a read after which a peer's reader is closed, even if its connection is open. */
const idleTimeoutMs = 30 * msPerSecond;

type ServedRead = {
	reader: RunReader;
	connection: PeerConnection;
	/** The pending part; it outlives a call that timed out, since the reader returns each part only once. */
	waiting: Promise<RunPart> | undefined;
	usedAt: Milliseconds;
};

/** Readers of this host's runs, opened by other hosts for their callers. */
export type ServedReads = {
	open: (reader: RunReader, connection: PeerConnection) => number;
	read: (readId: number, connection: PeerConnection) => Promise<ReadReply>;
	close: (readId: number, connection: PeerConnection) => void;
	sweep: () => void;
};

/**
 * Creates the set of reads served to peers. A read belongs to the connection
 * that opened it, and is closed with that connection.
 *
 * @param now - Monotonic milliseconds.
 * @returns Functions that close over the set.
 */
export function createServedReads(now: () => Milliseconds): ServedReads {
	const served = new Map<number, ServedRead>();
	let nextId = 1;

	function end(readId: number) {
		served.get(readId)?.reader.close(now());
		served.delete(readId);
	}

	async function endWithConnection(readId: number, connection: PeerConnection) {
		await connection.closed;
		end(readId);
	}

	return {
		open(reader, connection) {
			const readId = nextId++;
			served.set(readId, {
				reader, connection, waiting: undefined, usedAt: now(),
			});
			void endWithConnection(readId, connection);
			return readId;
		},
		async read(readId, connection) {
			const found = served.get(readId);
			if (found?.connection !== connection) {
				throw new Error('no open read with this id on this connection');
			}

			found.usedAt = now();
			found.waiting ??= found.reader.next();
			const timer = new AbortController();
			const idle = sleep(longPollMs, {kind: 'idle'} as const, {signal: timer.signal, ref: false});
			const part = await Promise.race([found.waiting, idle]);
			if (part.kind === 'idle') {
				return part;
			}

			// eslint-disable-next-line promise/prefer-await-to-then -- the abandoned timer rejects, and nobody waits for it
			idle.catch(() => undefined);
			timer.abort();
			found.waiting = undefined;
			return part.kind === 'head'
				? {
					...part, headers: Object.fromEntries(Object.entries(part.headers).map(([name, value]) => [name, typeof value === 'string' ? value : [...value]])),
				}
				: part;
		},
		close(readId, connection) {
			if (served.get(readId)?.connection === connection) {
				end(readId);
			}
		},
		sweep() {
			for (const [readId, {usedAt}] of served) {
				if (now() - usedAt > idleTimeoutMs) {
					end(readId);
				}
			}
		},
	};
}
