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
const handOverCandidates = 3;
const takeOverForMs = 30 * msPerSecond;
/** The first rounds come fast: right after a start the view lacks the peers' addresses for a moment. */
const takeOverWaitMs = {first: 50, longest: 500} as const;
/** A peer that can't be reached must not keep this host out of service. */
const settleForMs = 5 * msPerSecond;

export type TableTransferOptions = {
	slot: HostId;
	witness: ClaimWitness;
	connectTo: WitnessClient['connectTo'];
	toView: () => FleetView | undefined;
	clock: Clock;
	log: Log;
	closing: AbortSignal;
};

/** Moves a witness's table from one process of a slot to the next, by way of a peer. */
export type TableTransfer = {
	leave: () => Promise<boolean>;
	takeOver: () => Promise<boolean>;
	/**
	 * Whether the search has come to something: the table is here, no peer that
	 * could hold it has one, or five seconds have passed. A host that takes requests
	 * earlier abstains on keys it should vouch for and can't ask its own witnesses;
	 * callers of a rolling restart see `claim-unavailable` for no other reason.
	 */
	isSettled: () => boolean;
};

/** What became of a table at a peer; after `failed` a part of it may be there. */
type HandedOver = 'done' | 'unreachable' | 'refused' | 'failed';

/** What a peer has of this slot's table. */
type Search = 'taken' | 'nothing' | 'unreachable';

/**
 * Creates the transfer of one entry.
 *
 * @param options - See {@link TableTransferOptions}.
 * @returns Both ends of the transfer.
 */
export function createTableTransfer({
	slot, witness, connectTo, toView, clock, log, closing,
}: TableTransferOptions): TableTransfer {
	let soughtSince: Milliseconds | undefined;
	let hasEnded = false;
	const leaving = new AbortController();
	let round: Promise<Search> | undefined;

	/** Peers that hold this slot's table between two of its processes, in an order that both know. */
	function listHolders(): HostId[] {
		const hosts = toView()?.accepted?.config.hosts.filter(host => host.id !== slot) ?? [];
		return [...pickWitnesses(`hand-over\n${slot}`, hosts).slots];
	}

	/** A part that may have arrived ends the search: with a second copy about, two successors could take the table. */
	async function handTo(host: HostId, parts: readonly HandOverPart[]): Promise<HandedOver> {
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
	 * A search that goes on while the table is handed over would fetch it back into
	 * the process that ends: the successor would find nothing and vouch for no key
	 * for four minutes. What it fetches at this moment is handed on with the rest.
	 */
	async function endSearch(): Promise<void> {
		leaving.abort();
		await round;
	}

	async function leave(): Promise<boolean> {
		await endSearch();
		const handOver = witness.freeze(clock.wallNow());
		if (handOver === undefined) {
			return false;
		}

		const parts = toHandOverParts(handOver);
		for (const host of listHolders().slice(0, handOverCandidates)) {
			const handed = await handTo(host, parts);
			if (handed === 'done' || handed === 'failed') {
				log.info(handed === 'done' ? 'claims handed over' : 'claims may not have been handed over', {peer: host, count: handOver.claims.length});
				return handed === 'done';
			}
		}

		log.warn('claims not handed over: no peer was reached that has room for them', {count: handOver.claims.length});
		return false;
	}

	async function takePart(connection: PeerConnection, part: number): Promise<TakeOverReply> {
		const replied = await connection.call(methods.takeOver, {part}, {timeoutMs: handOverTimeoutMs});
		const reply = takeOverReplySchema.safeParse(replied.unwrapOr(undefined));
		return reply.success ? reply.data : {kind: 'nothing'};
	}

	async function takeFrom(host: HostId): Promise<Search> {
		const connected = await connectTo(host);
		if (connected.isErr()) {
			return 'unreachable';
		}

		const first = await takePart(connected.value, 0);
		if (first.kind !== 'part') {
			return 'nothing';
		}

		const claims = [...first.claims];
		for (let part = 1; part < first.parts; part++) {
			const next = await takePart(connected.value, part);
			if (next.kind !== 'part') {
				return 'nothing';
			}

			claims.push(...next.claims);
		}

		return witness.adopt({...first, claims}) ? 'taken' : 'nothing';
	}

	function isThoughtGone(host: HostId): boolean {
		const life = toView()?.hosts.get(host)?.life;
		return life === 'dead' || life === 'left';
	}

	async function takeFromAny(): Promise<Search> {
		let worst: Search = 'nothing';
		for (const host of listHolders().slice(0, handOverCandidates)) {
			const search = await takeFrom(host);
			if (search === 'taken') {
				log.info('claims taken over', {peer: host, count: witness.stats().claims});
				return search;
			}

			worst = search === 'unreachable' && !isThoughtGone(host) ? search : worst;
		}

		return worst;
	}

	/** Asks for a while: the first view may lack addresses, and the old process may leave after this one has started. */
	async function takeOver(): Promise<boolean> {
		if (soughtSince !== undefined) {
			return false;
		}

		soughtSince = clock.now();
		const giveUpAt = soughtSince + takeOverForMs;
		for (let waitMs: number = takeOverWaitMs.first; !closing.aborted && !leaving.signal.aborted && clock.now() < giveUpAt; waitMs = Math.min(2 * waitMs, takeOverWaitMs.longest)) {
			round = takeFromAny();
			const search = await round;
			hasEnded ||= search !== 'unreachable';
			if (search === 'taken') {
				return true;
			}

			await sleep(waitMs, undefined, {ref: false});
		}

		log.info('no claims taken over');
		return false;
	}

	return {
		leave,
		takeOver,
		isSettled: () => hasEnded || (soughtSince !== undefined && clock.now() - soughtSince > settleForMs),
	};
}
