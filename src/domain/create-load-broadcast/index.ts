/**
 * Passes the loads of polled servers on to other agents, inside a budget of
 * bytes: the poller of a server sends what changed, in fifteen bytes a server,
 * and as often as the number of receivers lets it.
 */
import {toHash32} from '../../_lib/to-hash32/index.js';
import {type Milliseconds} from '../../ports/clock.js';
import {type LoadReport} from '../../ports/engine.js';
import {type ServerId} from '../../ports/ids.js';
import {
	packDeltas, toStaticHash, unpackDeltas, type LoadDelta,
} from './_lib/pack.js';

/** What one message costs besides its deltas: frame (36), IP and TCP headers, and the acknowledgement (104). */
const messageBytes = 140;
const defaultBytesPerSecond = 3000;
const minIntervalMs = 250;

/** An unchanged server is sent this often, so that the age of its numbers stays small. */
const refreshMs = 2500;

export type LoadBroadcast = {
	/** A server that this host polls has reported. */
	notePolled: (load: LoadReport, loadAt: Milliseconds) => void;
	/** A server that this host polls was not reached by polls that began at this time. */
	noteUnreachable: (server: ServerId, askedAt: Milliseconds) => void;
	/** This host no longer polls the server. */
	forget: (server: ServerId) => void;
	/** The bytes to send to each receiver now; `undefined` when nothing is due. */
	takeDue: (receivers: number, now: Milliseconds) => Uint8Array | undefined;
	/** Whole reports of polled servers, for a receiver that lacks them. */
	reports: (servers: readonly number[], now: Milliseconds) => LoadReport[];
};

type Polled = {
	load: LoadReport | undefined;
	loadAt: Milliseconds;
	/** Start of the polls that did not reach it; `undefined` while it is reached. */
	unreachableSince: Milliseconds | undefined;
	sent: string;
	sentAt: Milliseconds;
};

/**
 * Creates the sending side.
 *
 * @param options - `bytesPerSecond`: what it may send, headers included.
 * @returns See {@link LoadBroadcast}.
 *
 * @example
 * ```ts
 * const spread = createLoadBroadcast();
 * spread.notePolled(report, now);
 * spread.take(8, now)?.length; // => 15
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

/** What a receiver does with deltas. */
export type ReceivedLoads = {
	/** Reports with their age at the sending. */
	loads: readonly LoadReport[];
	/** Servers that the sender did not reach, with the time since its polls began. */
	unreachable: ReadonlyArray<{server: ServerId; ageMs: Milliseconds}>;
	/** Hashes of servers of which this host lacks the whole report. */
	wanted: readonly number[];
};

/**
 * Reads what a poller has sent.
 *
 * @param bytes - The bytes.
 * @param findServer - The published server with a name's hash.
 * @param findLoad - The last whole report known of a server.
 * @returns Reports to take over, servers that were not reached, and those to ask for.
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
