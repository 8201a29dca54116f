import {setTimeout as sleep} from 'node:timers/promises';
import {type PeerConnection} from '../../../../adapters/peer-tcp/index.js';
import {type Log} from '../../../../adapters/log/index.js';
import {type ClaimWitness} from '../../../../domain/create-claim-witness/index.js';
import {pickWitnesses} from '../../../../domain/pick-witnesses/index.js';
import {type Clock} from '../../../../ports/clock.js';
import {type HostId} from '../../../../ports/ids.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type FleetView} from '../../../../ports/view.js';
import {toHandOverParts} from './create-hand-overs.js';
import {type WitnessClient} from './create-witness-client.js';
import {
	type HandOverPart, methods, type TakeOverReply, takeOverReplySchema,
} from './messages.js';

const handOverTimeoutMs = 2 * msPerSecond;
const handOverCandidates = 3;
const takeOverForMs = 30 * msPerSecond;
const takeOverWaitMs = 500;

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
};

/**
 * Creates the transfer of one entry.
 *
 * @param options - See {@link TableTransferOptions}.
 * @returns Both ends of the transfer.
 */
export function createTableTransfer({
	slot, witness, connectTo, toView, clock, log, closing,
}: TableTransferOptions): TableTransfer {
	let hasSoughtTable = false;

	/** Peers that hold this slot's table between two of its processes, in an order that both know. */
	function listHolders(): HostId[] {
		const hosts = toView()?.accepted?.config.hosts.filter(host => host.id !== slot) ?? [];
		return [...pickWitnesses(`hand-over\n${slot}`, hosts).slots];
	}

	/** A part that may have arrived ends the search: with a second copy about, two successors could take the table. */
	async function handTo(host: HostId, parts: readonly HandOverPart[]): Promise<'done' | 'unreachable' | 'failed'> {
		const connected = await connectTo(host);
		if (connected.isErr()) {
			return 'unreachable';
		}

		for (const part of parts) {
			const reply = await connected.value.call(methods.handOver, part, {timeoutMs: handOverTimeoutMs});
			if (reply.isErr()) {
				return !reply.error.sent && part.part === 0 ? 'unreachable' : 'failed';
			}
		}

		return 'done';
	}

	async function leave(): Promise<boolean> {
		const handOver = witness.freeze(clock.wallNow());
		if (handOver === undefined) {
			return false;
		}

		const parts = toHandOverParts(handOver);
		for (const host of listHolders().slice(0, handOverCandidates)) {
			const handed = await handTo(host, parts);
			if (handed !== 'unreachable') {
				log.info(handed === 'done' ? 'claims handed over' : 'claims may not have been handed over', {peer: host, count: handOver.claims.length});
				return handed === 'done';
			}
		}

		log.warn('claims not handed over: no peer was reached', {count: handOver.claims.length});
		return false;
	}

	async function takePart(connection: PeerConnection, part: number): Promise<TakeOverReply> {
		const replied = await connection.call(methods.takeOver, {part}, {timeoutMs: handOverTimeoutMs});
		const reply = takeOverReplySchema.safeParse(replied.unwrapOr(undefined));
		return reply.success ? reply.data : {kind: 'nothing'};
	}

	async function takeFrom(host: HostId): Promise<boolean> {
		const connected = await connectTo(host);
		const first = connected.isOk() ? await takePart(connected.value, 0) : undefined;
		if (connected.isErr() || first?.kind !== 'part') {
			return false;
		}

		const claims = [...first.claims];
		for (let part = 1; part < first.parts; part++) {
			const next = await takePart(connected.value, part);
			if (next.kind !== 'part') {
				return false;
			}

			claims.push(...next.claims);
		}

		return witness.adopt({...first, claims});
	}

	async function takeFromAny(): Promise<boolean> {
		for (const host of listHolders().slice(0, handOverCandidates)) {
			if (await takeFrom(host)) {
				log.info('claims taken over', {peer: host, count: witness.stats().claims});
				return true;
			}
		}

		return false;
	}

	/** Asks for a while: the first view may lack addresses, and the old process may leave after this one has started. */
	async function takeOver(): Promise<boolean> {
		if (hasSoughtTable) {
			return false;
		}

		hasSoughtTable = true;
		const giveUpAt = clock.now() + takeOverForMs;
		while (!closing.aborted && clock.now() < giveUpAt) {
			if (await takeFromAny()) {
				return true;
			}

			await sleep(takeOverWaitMs, undefined, {ref: false});
		}

		log.info('no claims taken over');
		return false;
	}

	return {leave, takeOver};
}
