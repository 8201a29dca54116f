/** The most hosts that were known at once in the last minutes, in all and in each zone. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ZoneId} from '../../../ports/ids.js';
import {msPerMinute} from '../../../ports/units.js';
import {type KnownPeer} from './known-peer.js';

/**
 * Minimum time for which silent hosts are still counted; the maximum is twice as long.
 * Hosts on the other side of a partition go on using their share of a common limit. If
 * they were forgotten during the partition, both sides would use the whole of it.
 */
const countPeriodMs: Milliseconds = 3 * msPerMinute;

/** The most hosts known at once in one period. */
type Most = {all: number; zones: ReadonlyMap<ZoneId, number>};

const none: Most = {all: 0, zones: new Map()};

function addZones(zones: ReadonlyMap<ZoneId, number>, others: ReadonlyMap<ZoneId, number>): ReadonlyMap<ZoneId, number> {
	const most = new Map(zones);
	for (const [zone, count] of others) {
		most.set(zone, Math.max(count, most.get(zone) ?? 0));
	}

	return most;
}

function countZones(known: ReadonlyMap<string, KnownPeer>): ReadonlyMap<ZoneId, number> {
	const counts = new Map<ZoneId, number>();
	for (const {zone} of known.values()) {
		counts.set(zone, (counts.get(zone) ?? 0) + 1);
	}

	return counts;
}

const toSum = (counts: Iterable<readonly [ZoneId, number]>): number => [...counts].reduce((sum, [, count]) => sum + count, 0);

export type KnownCounts = {
	/** Counts a host that was just added. */
	noteAdded: () => void;
	/** Counts the hosts that are known now. */
	note: (now: Milliseconds) => void;
	/** The most hosts known at once, with this one; `undefined` while no other was known. */
	count: () => number | undefined;
	/** Share of all hosts that are in some zones. */
	toShareOf: (zones: ReadonlySet<ZoneId>) => number;
};

/**
 * Creates the counts of a host.
 *
 * @param zone - Zone of this host, which counts too.
 * @param known - The other hosts that it knows.
 * @returns See {@link KnownCounts}; `now` is monotonic milliseconds.
 */
export function createKnownCounts(zone: ZoneId, known: ReadonlyMap<string, KnownPeer>): KnownCounts {
	let current = none;
	let before = none;
	let periodAt: Milliseconds | undefined;

	const noteAdded = (): void => {
		current = {...current, all: Math.max(current.all, known.size)};
	};

	return {
		noteAdded,
		note(now) {
			periodAt ??= now;
			if (now - periodAt >= countPeriodMs) {
				before = current;
				current = none;
				periodAt = now;
			}

			current = {all: Math.max(current.all, known.size), zones: addZones(current.zones, countZones(known))};
		},
		count() {
			const most = Math.max(current.all, before.all);
			return most === 0 ? undefined : most + 1;
		},
		toShareOf(zones) {
			const others = addZones(current.zones, before.zones);
			const counts = new Map(others).set(zone, (others.get(zone) ?? 0) + 1);
			return toSum([...counts].filter(([id]) => zones.has(id))) / toSum(counts);
		},
	};
}
