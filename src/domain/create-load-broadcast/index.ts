/**
 * Sends the loads of polled servers to other agents within a bandwidth budget. The
 * host that polls a server sends its changes, fifteen bytes per server, as often as
 * the budget allows for the number of receivers.
 */
import {toHash32} from '../../_lib/to-hash32/index.js';
import {type Milliseconds} from '../../ports/clock.js';
import {type LoadReport} from '../../ports/engine.js';
import {type ServerId} from '../../ports/ids.js';
import {
	packDeltas, toStaticHash, unpackDeltas, type LoadDelta,
} from './_lib/pack.js';

/** Overhead of one message in bytes: frame (36), and IP and TCP headers with the acknowledgement (104). */
const messageBytes = 140;
const defaultBytesPerSecond = 3000;
const minIntervalMs = 250;

/** Interval at which unchanged servers are sent again, so that their reports stay recent; milliseconds. */
const refreshMs = 2500;

export type LoadBroadcast = {
	/** Records a report of a server that this host polls. */
	notePolled: (load: LoadReport, loadAt: Milliseconds) => void;
	/** Records that polls that started at this time did not reach a server. */
	noteUnreachable: (server: ServerId, askedAt: Milliseconds) => void;
	/** Drops the state of a server that this host no longer polls. */
	forget: (server: ServerId) => void;
	/** Returns the bytes to send to each receiver now; `undefined` when nothing is due. */
	takeDue: (receivers: number, now: Milliseconds) => Uint8Array | undefined;
	/** Full reports of polled servers, for a receiver that does not have them. */
	reports: (servers: readonly number[], now: Milliseconds) => LoadReport[];
};

type Polled = {
	load: LoadReport | undefined;
	loadAt: Milliseconds;
	/** Start of the first poll that did not reach the server; `undefined` while the server is reachable. */
	unreachableSince: Milliseconds | undefined;
	sent: string;
	sentAt: Milliseconds;
};

/**
 * Creates the sending side.
 *
 * @param options - `bytesPerSecond`: bandwidth budget, headers included.
 * @returns See {@link LoadBroadcast}.
 *
 * @example
 * ```ts
 * const broadcast = createLoadBroadcast();
 * broadcast.notePolled(report, now);
 * broadcast.takeDue(8, now)?.length; // => 15
 * ```
 */
export function createLoadBroadcast({bytesPerSecond = defaultBytesPerSecond}: {bytesPerSecond?: number} = {}): LoadBroadcast {
	const polled = new Map<ServerId, Polled>();
	let nextAt = -Infinity;

	function toDelta(server: ServerId, {load, loadAt, unreachableSince}: Polled, now: Milliseconds): LoadDelta {
		return {
			server: toHash32(server),
			staticHash: load ? toStaticHash(load) : 0,
			state: unreachableSince === undefined ? load!.state : 'unreachable',
			slotsUsed: load?.slotsUsed ?? 0,
			queued: load?.queued ?? 0,
			queuedTokens: load?.queuedTokens ?? 0,
			tokensPerSecond: load?.tokensPerSecond ?? 0,
			linkBytesPerSecond: load?.linkBytesPerSecond ?? 0,
			ageMs: now - (unreachableSince ?? loadAt),
		};
	}

	return {
		notePolled(load, loadAt) {
			const {sent = '', sentAt = -Infinity} = polled.get(load.server) ?? {};
			polled.set(load.server, {
				load, loadAt, unreachableSince: undefined, sent, sentAt,
			});
		},
		noteUnreachable(server, askedAt) {
			const {load, loadAt = 0, sent = '', sentAt = -Infinity} = polled.get(server) ?? {};
			polled.set(server, {
				load, loadAt, unreachableSince: askedAt, sent, sentAt,
			});
		},
		forget(server) {
			polled.delete(server);
		},
		takeDue(receivers, now) {
			if (now < nextAt || receivers === 0 || polled.size === 0) {
				return undefined;
			}

			const due = [...polled].flatMap(([server, entry]) => {
				const delta = toDelta(server, entry, now);
				const content = packDeltas([{...delta, ageMs: 0}]).join(' ');
				if (content === entry.sent && now - entry.sentAt < refreshMs) {
					return [];
				}

				entry.sent = content;
				entry.sentAt = now;
				return [delta];
			});
			if (due.length === 0) {
				return undefined;
			}

			const bytes = packDeltas(due);
			nextAt = now + Math.max(minIntervalMs, (bytes.length + messageBytes) * receivers * 1000 / bytesPerSecond);
			return bytes;
		},
		reports(servers, now) {
			const wanted = new Set(servers);
			return [...polled]
				.filter(([server, {load}]) => load !== undefined && wanted.has(toHash32(server)))
				.map(([, {load, loadAt}]) => ({...load!, ageMs: now - loadAt}));
		},
	};
}

/** Decoded deltas, as a receiver has to process them. */
export type ReceivedLoads = {
	/** Reports with their age when they were sent. */
	loads: readonly LoadReport[];
	/** Servers that the sender did not reach, with the time since its unsuccessful polls started. */
	unreachable: ReadonlyArray<{server: ServerId; ageMs: Milliseconds}>;
	/** Hashes of servers whose full report this host does not have. */
	wanted: readonly number[];
};

/**
 * Decodes a message of {@link LoadBroadcast.takeDue}.
 *
 * @param bytes - The message.
 * @param findServer - Finds the published server by the hash of its name.
 * @param findLoad - Finds the last full report of a server.
 * @returns Reports to apply, servers that were not reached, and servers whose full report to request.
 */
export function decodeLoads(bytes: Uint8Array, findServer: (hash: number) => ServerId | undefined, findLoad: (server: ServerId) => LoadReport | undefined): ReceivedLoads {
	const loads: LoadReport[] = [];
	const unreachable: Array<{server: ServerId; ageMs: Milliseconds}> = [];
	const wanted: number[] = [];
	for (const {server: hash, staticHash, state, ...numbers} of unpackDeltas(bytes)) {
		const server = findServer(hash);
		if (server === undefined) {
			continue;
		}

		const known = findLoad(server);
		if (state === 'unreachable') {
			unreachable.push({server, ageMs: numbers.ageMs});
		} else if (known && toStaticHash(known) === staticHash) {
			loads.push({...known, ...numbers, state});
		} else {
			wanted.push(hash);
		}
	}

	return {loads, unreachable, wanted};
}
