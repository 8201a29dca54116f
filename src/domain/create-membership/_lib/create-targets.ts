/**
 * Chooses which hosts to ping next, and which to send updates to. The bridges of
 * a zone are its hosts that exchange messages with other zones, see
 * {@link pickZoneContacts}.
 */
import {pickRanked} from '../../../_lib/pick-ranked/index.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type HostId, type ZoneId} from '../../../ports/ids.js';
import {pickZoneContacts} from '../../pick-zone-contacts/index.js';
import {type Records} from './create-records.js';
import {type HostRecord} from './types.js';

const pingsPerInterval = 2;
/** Heartbeat intervals between two pings to another zone. */
const zoneIntervals = 3;
/** Heartbeat intervals between two pings to a host that is dead or out of reach. */
const unavailableIntervals = 5;
const seedIntervals = 1;
const maxSeedsPerRound = 2;
const verifiersPerSuspect = 3;
const minObservers = 2;

export type Targets = {
	/** Hosts to ping now. */
	takeDue: (now: Milliseconds, random: Random) => HostId[];
	/** Takes the seed addresses to contact now; addresses of known hosts are left out. */
	takeSeeds: (seeds: ReadonlySet<string>, now: Milliseconds, random: Random) => string[];
	/** Schedules a ping to a suspected host if this host is one of the few that verify the suspicion. */
	verify: (id: HostId) => void;
	/** Live hosts that can probe a host: those of its zone, and bridges of other zones where its zone has fewer than two. */
	observers: (id: HostId) => readonly HostRecord[];
	/**
	 * Hosts to send an update to: if it originates at this host, the hosts of this zone and the bridges of other
	 * zones; if it comes from another zone and this host is a bridge, the hosts of this zone; else none.
	 */
	spreadTo: (origin: HostId) => readonly HostRecord[];
	sample: (records: readonly HostRecord[], count: number, random: Random) => HostRecord[];
};

/**
 * Creates the target selection of one host.
 *
 * @param options - The table, the own host and zone, and the heartbeat interval in milliseconds.
 * @returns See {@link Targets}.
 */
export function createTargets({records, ownId, ownZone, intervalMs, startedAt}: {
	records: Records;
	ownId: HostId;
	ownZone: ZoneId;
	intervalMs: Milliseconds;
	startedAt: Milliseconds;
}): Targets {
	const toVerify = new Set<HostId>();
	const queue: HostId[] = [];
	let pingAt = startedAt;
	let zoneAt = startedAt;
	let goneAt = startedAt;
	let seedAt = startedAt;
	let round = 0;
	let cache: {version: number; peers: readonly HostRecord[]; bridges: ReadonlyMap<ZoneId, readonly HostRecord[]>} | undefined;

	function isNotGone({life}: HostRecord): boolean {
		return life === 'alive' || life === 'suspect';
	}

	function toBridges(zone: ZoneId): readonly HostRecord[] {
		return pickZoneContacts(zone, records.ofZone(zone)).map(id => records.get(id)!);
	}

	function readCache() {
		if (cache?.version !== records.version()) {
			cache = {
				version: records.version(),
				peers: records.ofZone(ownZone).filter(({id, life}) => id !== ownId && life === 'alive'),
				bridges: new Map(records.zones().map(zone => [zone, toBridges(zone)])),
			};
		}

		return cache;
	}

	function isBridge(): boolean {
		return readCache().bridges.get(ownZone)?.some(({id}) => id === ownId) ?? false;
	}

	function otherZones(): ZoneId[] {
		return records.zones().filter(zone => zone !== ownZone);
	}

	function shuffle<T>(items: readonly T[], random: Random): T[] {
		return items
			.map(item => ({item, order: random()}))
			.sort((a, b) => a.order - b.order)
			.map(({item}) => item);
	}

	function toObservers(id: HostId): readonly HostRecord[] {
		const zone = records.get(id)?.zone;
		const neighbours = (zone === undefined ? [] : records.ofZone(zone)).filter(record => record.id !== id && record.life === 'alive');
		if (neighbours.length >= minObservers) {
			return neighbours;
		}

		const bridges = records.zones().filter(other => other !== zone).flatMap(other => readCache().bridges.get(other) ?? []);
		return [...neighbours, ...bridges.filter(({life}) => life === 'alive')];
	}

	/** Takes the next host of the zone, each once a round in a random order: no host waits for a ping longer than two rounds. */
	function takeZonePeer(random: Random): HostId | undefined {
		if (queue.length === 0) {
			const peers = records.ofZone(ownZone).filter(record => record.id !== ownId && isNotGone(record));
			queue.push(...shuffle(peers.map(({id}) => id), random));
		}

		return queue.shift();
	}

	function takeZonePings(now: Milliseconds, random: Random): HostId[] {
		const suspected = [...toVerify];
		toVerify.clear();
		if (now < pingAt) {
			return suspected;
		}

		pingAt = now + (intervalMs / pingsPerInterval * (0.9 + (random() / 5)));
		const peer = takeZonePeer(random);
		return peer === undefined ? suspected : [peer, ...suspected];
	}

	function takeRemotePings(now: Milliseconds, random: Random): HostId[] {
		if (now < zoneAt || !isBridge()) {
			return [];
		}

		zoneAt = now + (zoneIntervals * intervalMs * (0.8 + (random() * 0.4)));
		round += 1;
		return otherZones().flatMap(zone => {
			const bridges = readCache().bridges.get(zone) ?? [];
			const bridge = bridges[round % bridges.length];
			return bridge ? [bridge.id] : [];
		});
	}

	/** Takes a host that is dead, or suspect in another zone: a host that was declared dead by mistake, or came back without knowing this one, is found again. */
	function takeUnavailable(now: Milliseconds, random: Random): HostId[] {
		if (now < goneAt) {
			return [];
		}

		goneAt = now + (unavailableIntervals * intervalMs * (0.8 + (random() * 0.4)));
		const gone = [...records.all()].filter(({id, life, zone}) => id !== ownId && (life === 'dead' || (life === 'suspect' && zone !== ownZone)));
		return shuffle(gone, random).slice(0, 1).map(({id}) => id);
	}

	return {
		takeDue: (now, random) => [...new Set([...takeZonePings(now, random), ...takeRemotePings(now, random), ...takeUnavailable(now, random)])],
		takeSeeds(seeds, now, random) {
			if (now < seedAt || seeds.size === 0) {
				return [];
			}

			// Once other hosts are known, a seed without a known host is tried rarely: a host may
			// start there later, and seeds are the only way back after a total partition.
			const intervals = records.size() > 1 ? unavailableIntervals : seedIntervals;
			const known = new Set([...records.all()].map(({agentAddress}) => agentAddress));
			const unknown = [...seeds].filter(address => !known.has(address));
			seedAt = now + (intervals * intervalMs * (0.8 + (random() * 0.4)));
			return shuffle(unknown, random).slice(0, records.size() > 1 ? 1 : maxSeedsPerRound);
		},
		verify(id) {
			const observers = toObservers(id).map(observer => observer.id);
			if (pickRanked(id, observers, verifiersPerSuspect).includes(ownId)) {
				toVerify.add(id);
			}
		},
		observers: toObservers,
		spreadTo(origin) {
			const {peers, bridges} = readCache();
			const originZone = records.get(origin)?.zone;
			if (origin === ownId) {
				return [...peers, ...otherZones().flatMap(zone => bridges.get(zone) ?? [])];
			}

			// The origin has sent the update to its own zone and to the bridges of the others; a bridge passes it on in its zone.
			return originZone !== ownZone && isBridge() ? peers.filter(({id}) => id !== origin) : [];
		},
		sample: (candidates, count, random) => shuffle(candidates, random).slice(0, count),
	};
}
