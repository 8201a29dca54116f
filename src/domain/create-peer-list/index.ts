/**
 * Peer discovery where no list of hosts is published: a host starts with seeds,
 * and adds every host that sends a message or is advertised in one.
 */
import {pickRanked} from '../../_lib/pick-ranked/index.js';
import {type Milliseconds} from '../../ports/clock.js';
import {type ZoneId} from '../../ports/ids.js';
import {type NamedPeer} from '../../ports/shared-loads.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';

export type PeerListOptions = {
	/** `IP:port` of this host, which is left out of the list. */
	self: string;
	zone: ZoneId;
	/** `IP:port` of hosts to try; they may be gone. */
	seeds: readonly string[];
};

export type PeerList = {
	/** Records a message of a host, which may ask for an answer. Returns whether the host was unknown; {@link PeerList.takeUnanswered} returns it then, as it may know no other host. */
	noteHeard: (peer: NamedPeer, now: Milliseconds, options?: {isAsking?: boolean; reachedShare?: number}) => boolean;
	/** Records the hosts that another host advertised in a message. */
	noteAdvertised: (peers: readonly NamedPeer[], now: Milliseconds) => void;
	/** Hosts to send each change to: all in a small fleet, some of the own zone in a large one. */
	directPeers: (now: Milliseconds) => readonly string[];
	/** Hosts of other zones to query periodically; none in a small fleet. */
	remotePeers: (now: Milliseconds) => readonly string[];
	/** Hosts of other zones that queried this host lately and that this host does not query. */
	remoteRequesters: (now: Milliseconds) => readonly string[];
	/** Hosts that collect the reports of all others on a key: the same few on all hosts that know the same hosts, and one of the own zone. */
	collectors: (key: string) => readonly string[];
	/** Whether there are too many hosts for each to send every change to all others. */
	isLarge: (now: Milliseconds) => boolean;
	/** Seeds that have sent no message lately. */
	silentSeeds: (now: Milliseconds) => readonly string[];
	/** Takes the hosts that are waiting for an answer; each is returned once. */
	takeUnanswered: () => readonly string[];
	/** Maximum number of hosts known at once in the last minutes, with this one; `undefined` while no other host was known. */
	count: () => number | undefined;
	/** Whether other hosts are known and none was added for some rounds; stays `true` from then on. */
	isSettled: (now: Milliseconds) => boolean;
	/** Hosts that may keep the counts of a key, this one included, best first: the same few on all hosts that reach each other. */
	rankKeepers: (key: string, now: Milliseconds) => readonly string[];
	/** Share of all hosts, also of those lost in the last minutes, that are in zones which this host hears. */
	toOwnReachedShare: (now: Milliseconds) => number;
	/** The same by the hosts of the own zone that know the fewest; a host that has just started in a zone that is cut off does not know what it lacks. */
	toReachedShare: (now: Milliseconds) => number;
	/** Share of all hosts, also of those lost in the last minutes, that are in the own zone. */
	toZoneShare: () => number;
	/** Whether no other host was heard lately. */
	isAlone: (now: Milliseconds) => boolean;
	/** Takes some hosts that sent a message lately, to advertise them to others; the choice rotates. */
	takeAdvertised: (now: Milliseconds) => readonly NamedPeer[];
};

/** Silence after which a host is no longer advertised: six of its messages. */
const silentAfterMs: Milliseconds = 3 * msPerSecond;

/** Time for which a host counts as alive after its last message or advertisement: advertisements take some seconds to cross a large fleet. */
const knownForMs: Milliseconds = 10 * msPerSecond;

/** Maximum number of other hosts in a fleet whose hosts all exchange messages with each other. */
const mostOfSmallFleet = 16;

/**
 * Hosts of the own zone that each host of a larger fleet sends to. Each host picks
 * its own by rendezvous hashing, so that all receive from about as many. If each
 * picked the first hosts that it learned of, all would know and advertise the same
 * few, and most hosts would receive nothing.
 */
const nearPeers = 8;

/**
 * Hosts of other zones that each host queries, in all and in one zone. Their answers
 * make each host hear from every zone: with random sends alone, one host in twenty
 * would get no message from some zone and take that zone for a silent one.
 */
const farPeers = 6;
const mostFarPeersOfZone = 3;

/**
 * Hosts that collect the reports on a key. There are two because one may have just
 * started, and because hosts that know different hosts may pick different collectors.
 */
const collectorsOfKey = 2;

/** Time for which a query is answered: two rounds of queries, and some delay. */
const askedForMs: Milliseconds = 2.5 * msPerSecond;

/** Hosts advertised in a message: a host that starts knows all of a small deployment after its first answer. */
const namedPeers = 8;

/** Time without a new host after which all hosts count as known: three rounds of advertisements. */
const settleMs: Milliseconds = 3 * msPerSecond;

/** Maximum number of hosts kept, so that a malformed message cannot exhaust the memory. */
const maxKnown = 1024;

/** Time for which a choice of hosts is cached: each new choice ranks all known hosts. */
const choiceMs: Milliseconds = msPerSecond;

/**
 * Minimum time for which silent hosts are still counted; the maximum is twice as long.
 * Hosts on the other side of a partition go on using their share of a common limit. If
 * they were forgotten during the partition, both sides would use the whole of it.
 */
const countPeriodMs: Milliseconds = 3 * msPerMinute;

/**
 * Silence after which a zone counts as cut off for shared limits. Each host hears
 * from several hosts of each zone every second.
 */
const zoneSilentAfterMs: Milliseconds = 2.5 * msPerSecond;

/** Hosts that may keep the counts of a key: the keeper, its successor, and one more. */
const keepersOfKey = 3;

/** Time for which the hosts that this one reaches are cached, and number of keys whose ranking is. */
const reachedMs: Milliseconds = 100;
const maxKeys = 4096;

type Known = {
	zone: ZoneId;
	/** When this host last received a message of it. */
	heardAt: Milliseconds;
	/** When it last sent a message to any host, as far as this host knows. */
	knownAt: Milliseconds;
	/** When it last asked for an answer. */
	askedAt: Milliseconds;
	/** Share of all hosts that it reaches by its last message; 1 if it told none. */
	reachedShare: number;
};

/** Hosts in the zones that are heard, their share of all hosts, and the rankings among them that were needed. */
type Reached = {at: Milliseconds; addresses: readonly string[]; share: number; keepers: Map<string, readonly string[]>};

type Choice = {near: readonly string[]; far: readonly string[]; isLarge: boolean; at: Milliseconds};

function groupByZone(known: ReadonlyMap<string, Known>): Map<ZoneId, string[]> {
	const zones = new Map<ZoneId, string[]>();
	for (const [address, {zone}] of known) {
		const addresses = zones.get(zone) ?? [];
		addresses.push(address);
		zones.set(zone, addresses);
	}

	return zones;
}

/**
 * Creates the list of a host that has received no message yet.
 *
 * @param options - This host, its zone, and the seeds.
 * @returns Functions that record messages and choose peers; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const peers = createPeerList({self: '10.0.0.1:7380', zone: 'a', seeds: ['10.0.0.1:7380', '10.0.0.2:7380']});
 * peers.toGreet(0); // => ['10.0.0.2:7380']
 * ```
 */
export function createPeerList({self, zone, seeds}: PeerListOptions): PeerList {
	const known = new Map<string, Known>();
	/** Hosts that were unknown when they sent a message, and have had no answer yet. */
	const unanswered = new Set<string>();
	const others = seeds.filter(seed => seed !== self);
	let choice: Choice = {
		near: [], far: [], isLarge: false, at: -Infinity,
	};
	let firstNamed = 0;
	/** Maximum number of hosts known at once in this period, and in the one before. */
	let mostKnown = 0;
	let mostBefore = 0;
	/** The same by zone. */
	let mostOfZones = new Map<ZoneId, number>();
	let mostOfZonesBefore: ReadonlyMap<ZoneId, number> = new Map();
	let periodAt: Milliseconds | undefined;
	let grewAt = Infinity;
	let isSettled = false;

	function hasSettled(now: Milliseconds): boolean {
		isSettled ||= now - grewAt >= settleMs;
		return isSettled;
	}

	function dropSilent(now: Milliseconds): void {
		for (const [address, {knownAt}] of known) {
			if (now - knownAt > knownForMs) {
				known.delete(address);
				choice.at = -Infinity;
			}
		}
	}

	function add(address: string, entry: Known): boolean {
		const isNew = !known.has(address);
		if (isNew && known.size >= maxKnown) {
			return false;
		}

		known.set(address, entry);
		mostKnown = Math.max(mostKnown, known.size);
		if (isNew && !hasSettled(entry.knownAt)) {
			grewAt = entry.knownAt;
		}

		if (isNew && known.size <= mostOfSmallFleet) {
			choice.at = -Infinity;
		}

		return isNew;
	}

	function noteCount(now: Milliseconds): void {
		periodAt ??= now;
		if (now - periodAt >= countPeriodMs) {
			mostBefore = mostKnown;
			mostKnown = 0;
			mostOfZonesBefore = mostOfZones;
			mostOfZones = new Map();
			periodAt = now;
		}

		mostKnown = Math.max(mostKnown, known.size);
		for (const [id, addresses] of groupByZone(known)) {
			mostOfZones.set(id, Math.max(mostOfZones.get(id) ?? 0, addresses.length));
		}
	}

	/** Returns the most hosts of each zone known at once in the last minutes, with this one. */
	function countOfZones(): ReadonlyMap<ZoneId, number> {
		const counts = new Map(mostOfZones);
		for (const [id, count] of mostOfZonesBefore) {
			counts.set(id, Math.max(count, counts.get(id) ?? 0));
		}

		return counts.set(zone, (counts.get(zone) ?? 0) + 1);
	}

	function choose(now: Milliseconds): Choice {
		if (now - choice.at < choiceMs) {
			return choice;
		}

		dropSilent(now);
		noteCount(now);
		if (known.size <= mostOfSmallFleet) {
			choice = {
				near: [...known.keys()], far: [], isLarge: false, at: now,
			};
			return choice;
		}

		const zones = groupByZone(known);
		const near = pickRanked(self, zones.get(zone) ?? [], nearPeers);
		zones.delete(zone);
		const ofZone = Math.min(mostFarPeersOfZone, Math.max(1, Math.floor(farPeers / zones.size)));
		const far = [...zones.values()].flatMap(addresses => pickRanked(self, addresses, ofZone));
		choice = {
			near, far, isLarge: true, at: now,
		};
		return choice;
	}

	let reached: Reached = {
		at: -Infinity, addresses: [], share: 1, keepers: new Map(),
	};

	/** Finds the zones from which a host was heard lately; always the own one. */
	const findHeardZones = (now: Milliseconds): ReadonlySet<ZoneId> =>
		new Set([zone, ...[...known.values()].filter(({heardAt}) => now - heardAt <= zoneSilentAfterMs).map(peer => peer.zone)]);

	/** Returns the share of all hosts that are in some zones. */
	function toShareOf(zones: ReadonlySet<ZoneId>): number {
		const counts = [...countOfZones()];
		const sum = (list: typeof counts): number => list.reduce((total, [, count]) => total + count, 0);
		return sum(counts.filter(([id]) => zones.has(id))) / sum(counts);
	}

	function findReached(now: Milliseconds): Reached {
		const heard = findHeardZones(now);
		return {
			at: now,
			addresses: [...known].filter(([, peer]) => heard.has(peer.zone) && now - peer.knownAt <= knownForMs).map(([address]) => address),
			share: toShareOf(heard),
			keepers: new Map(),
		};
	}

	function toReached(now: Milliseconds): Reached {
		if (now - reached.at >= reachedMs) {
			reached = findReached(now);
		}

		return reached;
	}

	/** A host that has just started has not heard every zone yet, which does not show that any is cut off. */
	const toOwnReachedShare = (now: Milliseconds): number => hasSettled(now) ? toReached(now).share : 1;

	function countKnown(): number | undefined {
		const most = Math.max(mostKnown, mostBefore);
		return most === 0 ? undefined : most + 1;
	}

	const isHeard = ({heardAt}: Known, now: Milliseconds): boolean => now - heardAt <= silentAfterMs;

	return {
		noteHeard({address, zone: peerZone}, now, {isAsking = false, reachedShare = 1} = {}) {
			const before = known.get(address);
			const isBack = before !== undefined && now - before.knownAt > knownForMs;
			const askedAt = isAsking ? now : before?.askedAt ?? -Infinity;
			const isNew = add(address, {
				zone: peerZone, heardAt: now, knownAt: now, askedAt, reachedShare,
			}) || isBack;
			if (isNew) {
				unanswered.add(address);
			}

			return isNew;
		},
		noteAdvertised(peers, now) {
			for (const {address, zone: peerZone} of peers) {
				if (address !== self) {
					const {heardAt, askedAt, reachedShare} = known.get(address) ?? {heardAt: -Infinity, askedAt: -Infinity, reachedShare: 1};
					add(address, {
						zone: peerZone, heardAt, knownAt: now, askedAt, reachedShare,
					});
				}
			}
		},
		directPeers: now => choose(now).near,
		remotePeers: now => choose(now).far,
		remoteRequesters(now) {
			const {far, isLarge} = choose(now);
			return isLarge ? [...known].filter(([address, peer]) => peer.zone !== zone && now - peer.askedAt <= askedForMs && !far.includes(address)).map(([address]) => address) : [];
		},
		collectors(key) {
			const ofZone = [...known].filter(([, peer]) => peer.zone === zone).map(([address]) => address);
			// The own address is ranked too: all hosts must rank the same addresses.
			const picked = [...pickRanked(key, [self, ...known.keys()], collectorsOfKey), ...pickRanked(key, [self, ...ofZone], 1)];
			return [...new Set(picked)].filter(address => address !== self);
		},
		isLarge: now => choose(now).isLarge,
		silentSeeds: now => others.filter(seed => {
			const entry = known.get(seed);
			return entry === undefined || !isHeard(entry, now);
		}),
		takeUnanswered() {
			const addresses = [...unanswered];
			unanswered.clear();
			return addresses;
		},
		count: countKnown,
		isSettled: hasSettled,
		rankKeepers(key, now) {
			// Hosts that have just started know different hosts, but the same seeds.
			if (!hasSettled(now) && seeds.length > 0) {
				return pickRanked(key, seeds, keepersOfKey);
			}

			const {addresses, keepers} = toReached(now);
			const ranked = keepers.get(key) ?? pickRanked(key, [self, ...addresses], keepersOfKey);
			if (keepers.size < maxKeys) {
				keepers.set(key, ranked);
			}

			return ranked;
		},
		toOwnReachedShare,
		toZoneShare: () => toShareOf(new Set([zone])),
		toReachedShare(now) {
			const told = [...known.values()].filter(peer => peer.zone === zone && now - peer.heardAt <= zoneSilentAfterMs).map(({reachedShare}) => reachedShare);
			return Math.min(toOwnReachedShare(now), ...told);
		},
		isAlone: now => [...known.values()].every(({heardAt}) => now - heardAt > zoneSilentAfterMs),
		takeAdvertised(now) {
			const heard = [...known].filter(([, entry]) => isHeard(entry, now)).map(([address, {zone: peerZone}]) => ({address, zone: peerZone}));
			firstNamed = heard.length <= namedPeers ? 0 : (firstNamed + namedPeers) % heard.length;
			return [...heard, ...heard].slice(firstNamed, firstNamed + Math.min(namedPeers, heard.length));
		},
	};
}
