/**
 * Chooses the host slots that witness a key, and how many of them must agree.
 * The choice depends on the key and the published host list alone, so every
 * host that has the same list picks the same witnesses.
 */
import {toHash32} from '../../_lib/to-hash32/index.js';
import {type HostEntry} from '../../ports/config.js';
import {type HostId, type ZoneId} from '../../ports/ids.js';
import {toScore} from './_lib/to-score.js';

/** Maximum number of witnesses. A claim sends one request to each of them. */
const mostWitnesses = 9;

/**
 * Number of slots that may grant two claims for one key without both winning. A slot
 * does so when a host was replaced and a partition or a pause hides the old process,
 * two faults at once. Masking a second slot would refuse all claims when one of four
 * zones and one host more are down; see the table in `docs/design/007-at-most-once.md`.
 */
const defaultMaskedSlots = 1;

/** Number of witnesses, in any zones, that may be unavailable at once without a refusal. */
const wantedSpare = 2;

export type WitnessSet = {
	/** Host slots to ask, highest score first. */
	slots: readonly HostId[];
	/**
	 * Number of grants that a claim needs. Any two quorums share at least
	 * `2 * quorum - slots.length` slots, of which all but one may be faulty.
	 */
	quorum: number;
	/**
	 * Number of slots that may grant two claims for one key (an old host that runs on
	 * behind a partition beside its replacement, a host whose clock is off by more than
	 * the bound, a host that is only in one version of the host list) without two
	 * quorums for one key being possible.
	 */
	maskedSlots: number;
	/** Whether a quorum is left when all witnesses of any one zone are unavailable. */
	survivesZone: boolean;
};

export type PickWitnessesOptions = {
	/** Faulty slots to mask; beyond the first only where that still leaves a quorum when a zone is lost. 1 by default. */
	maskedSlots?: number;
};

type Candidate = {id: string; hash: number};
type Zone = Candidate & {members: readonly Candidate[]};
type Ranked = {id: string; score: number};

/** Hashes of names by host list, so that a claim hashes only its key. */
const zonesByList = new WeakMap<readonly HostEntry[], readonly Zone[]>();

function toZones(hosts: readonly HostEntry[]): readonly Zone[] {
	const known = zonesByList.get(hosts);
	if (known !== undefined) {
		return known;
	}

	const members = new Map<ZoneId, Candidate[]>();
	for (const {id, zone} of hosts) {
		const ofZone = members.get(zone) ?? [];
		ofZone.push({id, hash: toHash32(id)});
		members.set(zone, ofZone);
	}

	const zones = [...members].map(([id, ofZone]) => ({id, hash: toHash32(id), members: ofZone}));
	zonesByList.set(hosts, zones);
	return zones;
}

function isAhead(a: Ranked, b: Ranked): boolean {
	return a.score > b.score || (a.score === b.score && a.id < b.id);
}

/** Returns the candidates with the highest scores, in order. One pass with a short list costs a tenth of sorting a zone of 33 hosts. */
function rank<T extends Candidate>(keyHash: number, candidates: readonly T[], count: number): Array<Ranked & {candidate: T}> {
	const top: Array<Ranked & {candidate: T}> = [];
	for (const candidate of candidates) {
		const score = toScore(keyHash, candidate.hash);
		const lowest = top.at(-1);
		if (lowest !== undefined && top.length >= count && score < lowest.score) {
			continue;
		}

		const ranked = {id: candidate.id, score, candidate};
		let at = top.length;
		while (at > 0 && isAhead(ranked, top[at - 1]!)) {
			at--;
		}

		top.splice(at, 0, ranked);
		if (top.length > count) {
			top.pop();
		}
	}

	return top;
}

/** A number of witnesses, the quorum, and the failures that they tolerate. */
type Shape = {
	perZone: number;
	count: number;
	quorum: number;
	maskedSlots: number;
	survivesZone: boolean;
	/** Number of witnesses, in any zones, that may be unavailable. */
	spare: number;
	/** Number of witnesses that may be unavailable in addition to a whole zone. */
	spareBesideZone: number;
};

function toShape(zoneSizes: readonly number[], perZone: number, wantedMasked: number): Shape {
	const taken = zoneSizes.map(size => Math.min(size, perZone));
	const count = taken.reduce((sum, size) => sum + size, 0);
	const leftWithoutZone = count - Math.max(0, ...taken);
	const least = Math.ceil((count + 1 + Math.min(1, wantedMasked)) / 2);
	const wanted = Math.ceil((count + 1 + wantedMasked) / 2);
	const quorum = Math.max(1, Math.min(count, Math.max(least, Math.min(wanted, leftWithoutZone))));
	return {
		perZone,
		count,
		quorum,
		maskedSlots: Math.min(count, Math.max(0, (2 * quorum) - count - 1)),
		survivesZone: leftWithoutZone >= quorum,
		spare: count - quorum,
		spareBesideZone: leftWithoutZone - quorum,
	};
}

/** Compares the failures that shapes tolerate, the gravest first. Of equal shapes the smaller one is better: it costs less, and fewer hosts can fail. */
function isBetter(a: Shape, b: Shape, wantedMasked: number): boolean {
	const toMerits = (shape: Shape) => [
		Number(shape.survivesZone),
		Math.min(shape.maskedSlots, wantedMasked),
		Math.min(shape.spare, wantedSpare),
		shape.survivesZone ? shape.spareBesideZone : shape.spare,
		-shape.count,
	];
	const ofB = toMerits(b);
	const difference = toMerits(a).map((merit, i) => merit - ofB[i]!).find(merit => merit !== 0);
	return difference !== undefined && difference > 0;
}

function pickShape(zoneSizes: readonly number[], wantedMasked: number): Shape {
	const mostPerZone = zoneSizes.length === 0 ? 1 : Math.floor(mostWitnesses / zoneSizes.length);
	let best = toShape(zoneSizes, 1, wantedMasked);
	for (let perZone = 2; perZone <= mostPerZone; perZone++) {
		const candidate = toShape(zoneSizes, perZone, wantedMasked);
		best = isBetter(candidate, best, wantedMasked) ? candidate : best;
	}

	return best;
}

/**
 * Picks the witnesses of a key by rendezvous hashing: at most nine host slots,
 * equally many from each zone where possible, so that the loss of one zone takes
 * as few of them as possible.
 *
 * The quorum is larger than a majority, because one slot may be held by two
 * processes: while a replaced host goes on running behind a partition, its slot
 * votes on both sides, and {old i, X} and {new i, Y} of {i, X, Y} would both
 * win. A quorum whose overlap exceeds the number of such slots (a masking
 * quorum) rules that out without a lease, a leader or a bound on pauses.
 *
 * @param key - Scoped key, the same text on every host.
 * @param hosts - Published host slots of the accepted configuration. Hashes are cached by array, so the array must not be changed.
 * @param options - How many faulty slots to mask.
 * @returns The slots and the quorum; no slots when none are published.
 *
 * @example
 * ```ts
 * pickWitnesses('naslovnik\n01890a5d-ac96-774b-bcce-b302099a8057', config.hosts);
 * // eight hosts in four zones => {slots: [... 8], quorum: 5, maskedSlots: 1, survivesZone: true}
 * ```
 */
export function pickWitnesses(key: string, hosts: readonly HostEntry[], {maskedSlots = defaultMaskedSlots}: PickWitnessesOptions = {}): WitnessSet {
	const keyHash = toHash32(key);
	const zones = rank(keyHash, toZones(hosts), mostWitnesses).map(({candidate}) => candidate.members);
	const {perZone, quorum, maskedSlots: masked, survivesZone} = pickShape(zones.map(members => members.length), maskedSlots);
	const slots = zones.flatMap(members => rank(keyHash, members, perZone))
		.sort((a, b) => isAhead(a, b) ? -1 : 1)
		.map(({id}) => id);
	return {
		slots, quorum, maskedSlots: masked, survivesZone,
	};
}
