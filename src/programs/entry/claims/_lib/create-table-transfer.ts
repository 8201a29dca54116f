import {setTimeout as sleep} from 'node:timers/promises';
import {type PeerConnection} from '../../../../adapters/peer-tcp/index.js';
import {type Log} from '../../../../adapters/log/index.js';
import {type ClaimWitness} from '../../../../domain/create-claim-witness/index.js';
import {pickWitnesses} from '../../../../domain/pick-witnesses/index.js';
import {type Clock, type Milliseconds} from '../../../../ports/clock.js';
import {type HostId} from '../../../../ports/ids.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type FleetView} from '../../../../ports/view.js';
import {toHandOverParts} from './create-hand-overs.js';
import {type WitnessClient} from './create-witness-client.js';
import {
	type HandOverPart, handOverReplySchema, methods, type TakeOverReply, takeOverReplySchema,
} from './messages.js';

const handOverTimeoutMs = 2 * msPerSecond;
const maxHandOverPeers = 3;
const takeOverTimeoutMs = 30 * msPerSecond;
/** Rounds follow each other quickly at first: right after a start the view may lack the peers' addresses for a moment. */
const takeOverBackoffMs = {first: 50, longest: 500} as const;
/** Bounds the wait for peers that can't be reached, which would otherwise keep this host out of service. */
const settleTimeoutMs = 5 * msPerSecond;

export type TableTransferOptions = {
	slot: HostId;
	witness: ClaimWitness;
	connectTo: WitnessClient['connectTo'];
	toView: () => FleetView | undefined;
	clock: Clock;
	log: Log;
	closing: AbortSignal;
};

/** Moves a witness's table from one process of a slot to the next, through a peer. */
export type TableTransfer = {
	leave: () => Promise<boolean>;
	takeOver: () => Promise<boolean>;
	/**
	 * Whether the search is over: the table was found, no peer that could hold it has
	 * it, or five seconds have passed. A host that accepted requests earlier would
	 * abstain on keys for which it should vouch and could not reach its own
	 * witnesses; callers would get `claim-unavailable` during a rolling restart.
	 */
	isSettled: () => boolean;
};

/** Result of sending a table to a peer; after `failed` the peer may hold a part of it. */
type HandOverResult = 'done' | 'unreachable' | 'refused' | 'failed';

/** Result of asking peers for this slot's table. */
type SearchResult = 'taken' | 'nothing' | 'unreachable';

/**
 * Creates the transfer of one entry.
 *
 * @param options - See {@link TableTransferOptions}.
 * @returns Both ends of the transfer.
 */
export function createTableTransfer({
	slot, witness, connectTo, toView, clock, log, closing,
}: TableTransferOptions): TableTransfer {
	let searchStartedAt: Milliseconds | undefined;
	let isSearchDone = false;
	const leaving = new AbortController();
	let currentRound: Promise<SearchResult> | undefined;

	/** Peers that may store this slot's table between two of its processes. Both processes compute the same order. */
	function listHandOverPeers(): HostId[] {
		const hosts = toView()?.accepted?.config.hosts.filter(host => host.id !== slot) ?? [];
		return [...pickWitnesses(`hand-over\n${slot}`, hosts).slots];
	}

	/** Sends the table to a peer. After `failed`, no other peer is tried: with a second copy in the fleet, two successors could take the table. */
	async function sendTable(host: HostId, parts: readonly HandOverPart[]): Promise<HandOverResult> {
		const connected = await connectTo(host);
		if (connected.isErr()) {
			return 'unreachable';
		}

		for (const part of parts) {
			const replied = await connected.value.call(methods.handOver, part, {timeoutMs: handOverTimeoutMs});
			if (replied.isErr()) {
				return !replied.error.sent && part.part === 0 ? 'unreachable' : 'failed';
			}

			const reply = handOverReplySchema.safeParse(replied.value);
			if (!reply.success || !reply.data.isTaken) {
				return part.part === 0 ? 'refused' : 'failed';
			}
		}

		return 'done';
	}

	/**
	 * Ends the search before the table is handed over. A search still running then
	 * would fetch the table back into the process that ends: the successor would find
	 * nothing and vouch for no key for four minutes. A table that the current round
	 * still fetches is handed over with the rest.
	 */
	async function endSearch(): Promise<void> {
		leaving.abort();
		await currentRound;
	}

	async function leave(): Promise<boolean> {
		await endSearch();
		const handOver = witness.freeze(clock.wallNow());
		if (handOver === undefined) {
			return false;
		}

		const parts = toHandOverParts(handOver);
		for (const host of listHandOverPeers().slice(0, maxHandOverPeers)) {
			const handed = await sendTable(host, parts);
			if (handed === 'done' || handed === 'failed') {
				log.info(handed === 'done' ? 'claims handed over' : 'claims may not have been handed over', {peer: host, count: handOver.claims.length});
				return handed === 'done';
			}
		}

		log.warn('claims not handed over: none of the peers asked was reachable and had room for them', {count: handOver.claims.length});
		return false;
	}

	async function fetchPart(connection: PeerConnection, part: number): Promise<TakeOverReply> {
		const replied = await connection.call(methods.takeOver, {part}, {timeoutMs: handOverTimeoutMs});
		const reply = takeOverReplySchema.safeParse(replied.unwrapOr(undefined));
		return reply.success ? reply.data : {kind: 'nothing'};
	}

	async function fetchTable(host: HostId): Promise<SearchResult> {
		const connected = await connectTo(host);
		if (connected.isErr()) {
			return 'unreachable';
		}

		const first = await fetchPart(connected.value, 0);
		if (first.kind !== 'part') {
			return 'nothing';
		}

		const claims = [...first.claims];
		for (let part = 1; part < first.parts; part++) {
			const next = await fetchPart(connected.value, part);
			if (next.kind !== 'part') {
				return 'nothing';
			}

			claims.push(...next.claims);
		}

		return witness.adopt({...first, claims}) ? 'taken' : 'nothing';
	}

	function isBelievedDown(host: HostId): boolean {
		const life = toView()?.hosts.get(host)?.life;
		return life === 'dead' || life === 'left';
	}

	async function fetchFromPeers(): Promise<SearchResult> {
		let worst: SearchResult = 'nothing';
		for (const host of listHandOverPeers().slice(0, maxHandOverPeers)) {
			const search = await fetchTable(host);
			if (search === 'taken') {
				log.info('claims taken over', {peer: host, count: witness.stats().claims});
				return search;
			}

			worst = search === 'unreachable' && !isBelievedDown(host) ? search : worst;
		}

		return worst;
	}

	/** Asks repeatedly for up to 30 seconds: the first view may lack addresses, and the old process may leave only after this one has started. */
	async function takeOver(): Promise<boolean> {
		if (searchStartedAt !== undefined) {
			return false;
		}

		searchStartedAt = clock.now();
		const giveUpAt = searchStartedAt + takeOverTimeoutMs;
		for (let waitMs: number = takeOverBackoffMs.first; !closing.aborted && !leaving.signal.aborted && clock.now() < giveUpAt; waitMs = Math.min(2 * waitMs, takeOverBackoffMs.longest)) {
			currentRound = fetchFromPeers();
			const search = await currentRound;
			isSearchDone ||= search !== 'unreachable';
			if (search === 'taken') {
				return true;
			}

			await sleep(waitMs, undefined, {ref: false});
		}

		log.info('search for claims to take over ended, none were taken over');
		return false;
	}

	return {
		leave,
		takeOver,
		isSettled: () => isSearchDone || (searchStartedAt !== undefined && clock.now() - searchStartedAt > settleTimeoutMs),
	};
}
