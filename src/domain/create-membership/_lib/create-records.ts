/** The table of hosts, and the rule by which two records of one host are merged. */
import {toHash32} from '../../../_lib/to-hash32/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId, type ZoneId} from '../../../ports/ids.js';
import {type HostLife} from '../../../ports/view.js';
import {type HostRecord} from './types.js';

const maxWitnesses = 4;
const maxHosts = 4096;
const lifeRanks: Readonly<Record<HostLife, number>> = {
	alive: 0, suspect: 1, dead: 2, left: 3,
};

type Entry = {
	record: HostRecord;
	stamp: number;
	/** Number of messages that the record still has to be gossiped in. */
	retransmitsLeft: number;
	suspectSince: Milliseconds;
};

/** Checks whether the first record replaces the second. */
export function isNewerRecord(candidate: HostRecord, current: HostRecord): boolean {
	if (candidate.incarnation !== current.incarnation) {
		return candidate.incarnation > current.incarnation;
	}

	// Death is final for an incarnation: no later revision takes it back.
	const isFinal = (life: HostLife) => life === 'dead' || life === 'left';
	if (isFinal(candidate.life) !== isFinal(current.life)) {
		return isFinal(candidate.life);
	}

	if (candidate.revision !== current.revision) {
		return candidate.revision > current.revision;
	}

	return lifeRanks[candidate.life] > lifeRanks[current.life];
}

function toStamp({id, incarnation, revision, life}: HostRecord): number {
	return toHash32(`${id} ${incarnation} ${revision} ${life}`);
}

function toWitnesses(a: readonly HostId[], b: readonly HostId[]): readonly HostId[] {
	return [...new Set([...a, ...b])].sort().slice(0, maxWitnesses);
}

export type Records = {
	get: (id: HostId) => HostRecord | undefined;
	/** Merges a record. Returns what changed: nothing, only its witnesses, or the record itself. */
	merge: (record: HostRecord, now: Milliseconds) => 'none' | 'witnesses' | 'record';
	/** Replaces the witnesses of a suspect. */
	setWitnesses: (id: HostId, witnesses: readonly HostId[]) => void;
	suspectSince: (id: HostId) => Milliseconds;
	/** Restarts the suspicion timeout of every suspect. */
	restartSuspicions: (now: Milliseconds) => void;
	all: () => Iterable<HostRecord>;
	ofZone: (zone: ZoneId) => readonly HostRecord[];
	zones: () => readonly ZoneId[];
	size: () => number;
	stamp: (id: HostId) => number | undefined;
	/** Hash of all records. */
	digest: () => number;
	zoneDigest: (zone: ZoneId) => number;
	/** Takes records that still have to be gossiped, the least recently sent first. */
	takeUpdates: (count: number) => HostRecord[];
	/** Number that is raised with each change. */
	version: () => number;
};

/**
 * Creates an empty table.
 *
 * @param options - `spreadCount`: number of messages that each change is gossiped in, given the number of hosts.
 * @returns See {@link Records}.
 */
export function createRecords({spreadCount}: {spreadCount: (hosts: number) => number}): Records {
	const entries = new Map<HostId, Entry>();
	const pendingGossip = new Set<HostId>();
	const zones = new Map<ZoneId, HostRecord[]>();
	const digests = new Map<ZoneId, number>();
	let digest: number | undefined;
	let version = 0;

	function put(record: HostRecord, now: Milliseconds) {
		const prev = entries.get(record.id);
		const wasSuspect = prev?.record.life === 'suspect' && record.life === 'suspect' && prev.record.incarnation === record.incarnation;
		entries.set(record.id, {
			record, stamp: toStamp(record), retransmitsLeft: spreadCount(entries.size + 1), suspectSince: wasSuspect ? prev.suspectSince : now,
		});
		pendingGossip.delete(record.id);
		pendingGossip.add(record.id);
		invalidate(record.zone);
		if (prev) {
			invalidate(prev.record.zone);
		}
	}

	function invalidate(zone: ZoneId) {
		zones.clear();
		digests.delete(zone);
		digest = undefined;
		version += 1;
	}

	function fillZones() {
		if (zones.size > 0) {
			return;
		}

		for (const {record} of entries.values()) {
			const members = zones.get(record.zone);
			if (members) {
				members.push(record);
			} else {
				zones.set(record.zone, [record]);
			}
		}
	}

	function ofZone(zone: ZoneId): readonly HostRecord[] {
		fillZones();
		return zones.get(zone) ?? [];
	}

	function zoneDigest(zone: ZoneId): number {
		const known = digests.get(zone);
		if (known !== undefined) {
			return known;
		}

		// A sum does not depend on the order in which hosts were added.
		const sum = ofZone(zone).reduce((total, {id}) => (total + entries.get(id)!.stamp) % (2 ** 32), 0);
		digests.set(zone, sum);
		return sum;
	}

	return {
		get: id => entries.get(id)?.record,
		merge(record, now) {
			const prev = entries.get(record.id);
			if (!prev) {
				if (entries.size >= maxHosts) {
					return 'none';
				}

				put(record, now);
				return 'record';
			}

			if (isNewerRecord(record, prev.record)) {
				put(record, now);
				return 'record';
			}

			const isSame = prev.record.life === 'suspect' && prev.stamp === toStamp(record);
			const witnesses = isSame ? toWitnesses(prev.record.witnesses, record.witnesses) : prev.record.witnesses;
			if (witnesses.length === prev.record.witnesses.length) {
				return 'none';
			}

			put({...prev.record, witnesses}, now);
			return 'witnesses';
		},
		setWitnesses(id, witnesses) {
			const entry = entries.get(id);
			if (entry) {
				entry.record = {...entry.record, witnesses};
				zones.clear();
			}
		},
		suspectSince: id => entries.get(id)?.suspectSince ?? Infinity,
		restartSuspicions(now) {
			for (const entry of entries.values()) {
				entry.suspectSince = now;
			}
		},
		* all() {
			for (const {record} of entries.values()) {
				yield record;
			}
		},
		ofZone,
		zones() {
			fillZones();
			return [...zones.keys()];
		},
		size: () => entries.size,
		stamp: id => entries.get(id)?.stamp,
		digest() {
			fillZones();
			digest ??= [...zones.keys()].reduce((total, zone) => (total + zoneDigest(zone)) % (2 ** 32), 0);
			return digest;
		},
		zoneDigest,
		takeUpdates(count) {
			const taken: HostRecord[] = [];
			for (const id of [...pendingGossip].slice(0, count)) {
				const entry = entries.get(id)!;
				entry.retransmitsLeft -= 1;
				taken.push(entry.record);
				// A set iterates in insertion order: a record that was just sent goes to the end.
				pendingGossip.delete(id);
				if (entry.retransmitsLeft > 0) {
					pendingGossip.add(id);
				}
			}

			return taken;
		},
		version: () => version,
	};
}
