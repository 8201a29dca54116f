/**
 * Which other hosts to talk to, where no list of hosts is published: some seeds
 * to begin with, and whoever speaks or is named by one who does.
 */
import {pickRanked} from '../../_lib/pick-ranked/index.js';
import {type Milliseconds} from '../../ports/clock.js';
import {type ZoneId} from '../../ports/ids.js';
import {type NamedPeer} from '../../ports/shared-loads.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';

export type PeerListOptions = {
	/** `IP:port` of this host, which is no peer of its own. */
	self: string;
	zone: ZoneId;
	/** `IP:port` of hosts that may be there. */
	seeds: readonly string[];
};

export type PeerList = {
	/** A host spoke, and may ask to be answered. Tells whether it was unknown before; it is owed an answer then, as it may know nobody else. */
	noteHeard: (peer: NamedPeer, now: Milliseconds, options?: {isAsking?: boolean}) => boolean;
	/** A host named others that it has heard. */
	noteAdvertised: (peers: readonly NamedPeer[], now: Milliseconds) => void;
	/** All of a small fleet, to be told of each change; some of the own zone in a large one. */
	directPeers: (now: Milliseconds) => readonly string[];
	/** Hosts of other zones to ask now and then; none in a small fleet. */
	remotePeers: (now: Milliseconds) => readonly string[];
	/** Hosts of other zones that asked lately and are not asked by this one. */
	remoteRequesters: (now: Milliseconds) => readonly string[];
	/** Hosts that collect what all others know of the key: the same few for each of them, as far as they know the same hosts, and one of the own zone. */
	collectors: (key: string) => readonly string[];
	/** Whether there are more hosts than each can tell of each change. */
	isLarge: (now: Milliseconds) => boolean;
	/** Seeds that have not spoken lately. */
	silentSeeds: (now: Milliseconds) => readonly string[];
	/** Hosts that are owed an answer; each is given out once. */
	takeUnanswered: () => readonly string[];
	/** Most hosts that were known at once in the last minutes, with this one; `undefined` while none was. */
	count: () => number | undefined;
	/** Whether others were heard, and no further one turned up for some rounds; once it is, it stays so. */
	isSettled: (now: Milliseconds) => boolean;
	/** Some hosts that spoke lately, to be named to others; others each time. */
	takeAdvertised: (now: Milliseconds) => readonly NamedPeer[];
};

/** Silence after which a host is named to nobody: six of its messages. */
const silentAfterMs: Milliseconds = 3 * msPerSecond;

/** Time for which a host counts as living after it spoke, or was named by one who heard it: names take some seconds through a large fleet. */
const knownForMs: Milliseconds = 10 * msPerSecond;

/** Fleets of so many other hosts at most talk all to all. */
const mostOfSmallFleet = 16;

/**
 * Hosts of the own zone that each host of a larger fleet speaks to. Each picks its
 * own by rank, so that all are spoken to by about as many. Were it the first ones
 * that each knows, all would know and name the same few, and most would hear nobody.
 */
const nearPeers = 8;

/**
 * Hosts of other zones that each host asks, together, and of one zone at most. They
 * answer, so that each host hears every zone: told by chance alone, one host in
 * twenty would take a zone that nobody happens to speak from for a silent one.
 */
const farPeers = 6;
const mostFarPeersOfZone = 3;

/**
 * Hosts that collect what is known of a key. One may have just started, and hosts
 * that know different others may pick different ones.
 */
const collectorsOfKey = 2;

/** Time for which a question is answered: two of the rounds in which they are asked, and some delay. */
const askedForMs: Milliseconds = 2.5 * msPerSecond;

/** Hosts named in a message: a host that starts knows all of a small deployment after its first answer. */
const namedPeers = 8;

/** Time without a further host after which all count as known: three of the rounds in which hosts are named. */
const settleMs: Milliseconds = 3 * msPerSecond;

/** Hosts that are kept; an odd message must not fill the memory. */
const maxKnown = 1024;

/** Time for which a choice of hosts stands: a new one ranks all of them. */
const choiceMs: Milliseconds = msPerSecond;

/**
 * Time for which hosts that fell silent count at least, and twice that at most.
 * Those behind a cut live on and have their part of what all share; forgotten
 * during the cut, both sides would take it.
 */
const countPeriodMs: Milliseconds = 3 * msPerMinute;

type Known = {
	zone: ZoneId;
	/** When it spoke to this host last. */
	heardAt: Milliseconds;
	/** When it last spoke to anybody, as far as this host can tell. */
	knownAt: Milliseconds;
	/** When it last asked to be answered. */
	askedAt: Milliseconds;
};

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
 * Creates the list of a host that has heard nobody yet.
 *
 * @param options - This host, its zone, and the seeds.
 * @returns Functions that note and tell; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const peers = createPeerList({self: '10.0.0.1:7380', zone: 'a', seeds: ['10.0.0.1:7380', '10.0.0.2:7380']});
 * peers.toGreet(0); // => ['10.0.0.2:7380']
 * ```
 */
export function createPeerList({self, zone, seeds}: PeerListOptions): PeerList {
	const known = new Map<string, Known>();
	/** Hosts that spoke and were unknown. */
	const unanswered = new Set<string>();
	const others = seeds.filter(seed => seed !== self);
	let choice: Choice = {
		near: [], far: [], isLarge: false, at: -Infinity,
	};
	let firstNamed = 0;
	/** Most hosts that were known at once in this period, and in the one before. */
	let mostKnown = 0;
	let mostBefore = 0;
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
			periodAt = now;
		}

		mostKnown = Math.max(mostKnown, known.size);
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

	const isHeard = ({heardAt}: Known, now: Milliseconds): boolean => now - heardAt <= silentAfterMs;

	return {
		noteHeard({address, zone: peerZone}, now, {isAsking = false} = {}) {
			const before = known.get(address);
			const isBack = before !== undefined && now - before.knownAt > knownForMs;
			const askedAt = isAsking ? now : before?.askedAt ?? -Infinity;
			const isNew = add(address, {
				zone: peerZone, heardAt: now, knownAt: now, askedAt,
			}) || isBack;
			if (isNew) {
				unanswered.add(address);
			}

			return isNew;
		},
		noteAdvertised(peers, now) {
			for (const {address, zone: peerZone} of peers) {
				if (address !== self) {
					const {heardAt, askedAt} = known.get(address) ?? {heardAt: -Infinity, askedAt: -Infinity};
					add(address, {
						zone: peerZone, heardAt, knownAt: now, askedAt,
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
			// With itself: all hosts must rank the same ones.
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
		count() {
			const most = Math.max(mostKnown, mostBefore);
			return most === 0 ? undefined : most + 1;
		},
		isSettled: hasSettled,
		takeAdvertised(now) {
			const heard = [...known].filter(([, entry]) => isHeard(entry, now)).map(([address, {zone: peerZone}]) => ({address, zone: peerZone}));
			firstNamed = heard.length <= namedPeers ? 0 : (firstNamed + namedPeers) % heard.length;
			return [...heard, ...heard].slice(firstNamed, firstNamed + Math.min(namedPeers, heard.length));
		},
	};
}
