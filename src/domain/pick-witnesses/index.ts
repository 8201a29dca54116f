/**
 * Chooses the host slots that witness a key, and how many of them must agree.
 * The choice depends on the key and the published host list alone, so every
 * host that has the same list picks the same witnesses.
 */
import {type HostEntry} from '../../ports/config.js';
import {type HostId, type ZoneId} from '../../ports/ids.js';
import {toScore} from './_lib/to-score.js';

/** A claim asks every witness, so their number is what a claim costs. */
const mostWitnesses = 9;

/** Witnesses that may all misbehave without two claims winning: see {@link WitnessSet}. */
const defaultMaskedSlots = 2;
const leastMaskedSlots = 1;

export type WitnessSet = {
	/** Host slots to ask, highest score first. */
	slots: readonly HostId[];
	/**
	 * Grants that make a claim good. Any two quorums share at least
	 * `2 * quorum - slots.length` slots, of which all but one may be faulty.
	 */
	quorum: number;
	/**
	 * Slots that may vouch twice (an old host that is cut off together with its
	 * replacement, a host whose clock is off beyond the bound, a host that one
	 * side of a list change has and the other has not) without two quorums
	 * for one key being possible.
	 */
	maskedSlots: number;
	/** Whether a quorum is left when all the witnesses of any one zone are away. */
	survivesZone: boolean;
};

export type PickWitnessesOptions = {
	/** Faulty slots to mask where that still leaves a quorum when a zone is lost; 2 by default. */
	maskedSlots?: number;
};

type Ranked = HostEntry & {score: number};

function compareScores(a: {score: number; id: string}, b: {score: number; id: string}): number {
	return b.score - a.score || (a.id < b.id ? -1 : 1);
}

function toZones(key: string, hosts: readonly HostEntry[]): Ranked[][] {
	const zones = new Map<ZoneId, Ranked[]>();
	for (const host of hosts) {
		const ranked = {...host, score: toScore(key, host.id)};
		zones.set(host.zone, [...zones.get(host.zone) ?? [], ranked]);
	}

	return [...zones]
		.map(([id, members]) => ({id, score: toScore(key, id), members: members.sort(compareScores)}))
		.sort(compareScores)
		.slice(0, mostWitnesses)
		.map(zone => zone.members);
}

function toSet(zones: ReadonlyArray<readonly Ranked[]>, perZone: number, wantedMasked: number): WitnessSet {
	const picked = zones.map(members => members.slice(0, perZone));
	const slots = picked.flat().sort(compareScores).map(host => host.id);
	const count = slots.length;
	const leftWithoutZone = count - Math.max(0, ...picked.map(members => members.length));
	const least = Math.ceil((count + 1 + Math.min(leastMaskedSlots, wantedMasked)) / 2);
	const wanted = Math.ceil((count + 1 + wantedMasked) / 2);
	const quorum = Math.min(count, Math.max(least, Math.min(wanted, leftWithoutZone)));
	return {
		slots,
		quorum,
		maskedSlots: Math.max(0, (2 * quorum) - count - 1),
		survivesZone: leftWithoutZone >= quorum,
	};
}

function isBetter(a: WitnessSet, b: WitnessSet, wantedMasked: number): boolean {
	if (a.survivesZone !== b.survivesZone) {
		return a.survivesZone;
	}

	const maskedOfA = Math.min(a.maskedSlots, wantedMasked);
	const maskedOfB = Math.min(b.maskedSlots, wantedMasked);
	return maskedOfA === maskedOfB ? a.slots.length > b.slots.length : maskedOfA > maskedOfB;
}

/**
 * Picks the witnesses of a key by rendezvous hashing: at most nine host slots,
 * equally many from each zone where that can be, so that one lost zone takes
 * as few of them as possible.
 *
 * The quorum is larger than a majority. A majority of slots is not a majority
 * of memories: while a replaced host goes on running behind a cut, its slot
 * votes on both sides, and {old i, X} and {new i, Y} of {i, X, Y} would both
 * win. A quorum whose overlap exceeds the slots that can do so (masking
 * quorum) needs no lease, no leader and no bound on pauses to rule that out.
 *
 * @param key - Scoped key, the same text on every host.
 * @param hosts - Published host slots of the accepted configuration.
 * @param options - How many faulty slots to mask.
 * @returns The slots and the quorum; no slots when none are published.
 *
 * @example
 * ```ts
 * pickWitnesses('naslovnik\n01890a5d-ac96-774b-bcce-b302099a8057', config.hosts);
 * // eight hosts in four zones => {slots: [... 8], quorum: 6, maskedSlots: 3, survivesZone: true}
 * ```
 */
export function pickWitnesses(key: string, hosts: readonly HostEntry[], {maskedSlots = defaultMaskedSlots}: PickWitnessesOptions = {}): WitnessSet {
	const zones = toZones(key, hosts);
	const mostPerZone = zones.length === 0 ? 0 : Math.floor(mostWitnesses / zones.length);
	let best: WitnessSet = {
		slots: [], quorum: 1, maskedSlots: 0, survivesZone: false,
	};
	for (let perZone = 1; perZone <= mostPerZone; perZone++) {
		const candidate = toSet(zones, perZone, maskedSlots);
		best = perZone === 1 || isBetter(candidate, best, maskedSlots) ? candidate : best;
	}

	return best;
}
