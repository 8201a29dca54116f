/**
 * Peer discovery where no list of hosts is published: a host starts with seeds,
 * and adds every host that sends a message or is advertised in one.
 */
import {pickRanked} from '../../_lib/pick-ranked/index.js';
import {type Milliseconds} from '../../ports/clock.js';
import {type ZoneId} from '../../ports/ids.js';
import {type NamedPeer} from '../../ports/shared-loads.js';
import {msPerSecond} from '../../ports/units.js';
import {createKnownCounts} from './_lib/create-known-counts.js';
import {createReachedHosts, type ReachedHosts} from './_lib/create-reached-hosts.js';
import {pickRecordKeepers} from './_lib/pick-record-keepers.js';
import {knownForMs, type KnownPeer} from './_lib/known-peer.js';

export type PeerListOptions = {
	/** `IP:port` of this host, which is left out of the list. */
	self: string;
	zone: ZoneId;
	/** `IP:port` of hosts to try; they may be gone. */
	seeds: readonly string[];
};

export type PeerList = ReachedHosts & {
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
	/** Whether this host is ranked first for a key; hosts that know the same hosts rank the same one first. */
	isFirstFor: (key: string) => boolean;
	/** Hosts that keep a record beside this one; hosts that know the same hosts pick the same, but for one of the own zone. */
	recordKeepers: (key: string, now: Milliseconds) => readonly string[];
	/** Whether there are too many hosts for each to send every change to all others. */
	isLarge: (now: Milliseconds) => boolean;
	/** Seeds that have sent no message lately. */
	silentSeeds: (now: Milliseconds) => readonly string[];
	/** Hosts that may answer a question, the likeliest first: those heard lately, silent seeds, and hosts that others advertised. `isOtherZoneFirst` puts known hosts of other zones before all of them. */
	likelyPeers: (now: Milliseconds, options?: {isOtherZoneFirst?: boolean}) => readonly string[];
	/** Takes the hosts that are waiting for an answer; each is returned once. */
	takeUnanswered: () => readonly string[];
	/** Maximum number of hosts known at once in the last minutes, with this one; `undefined` while no other host was known. */
	count: () => number | undefined;
	/** Whether other hosts are known and none was added for some rounds; stays `true` from then on. */
	isSettled: (now: Milliseconds) => boolean;
	/** Takes some hosts that sent a message lately, to advertise them to others; the choice rotates. */
	takeAdvertised: (now: Milliseconds) => readonly NamedPeer[];
};

/** Silence after which a host is no longer advertised: six of its messages. */
const silentAfterMs: Milliseconds = 3 * msPerSecond;

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

/** Silence of all others after which the time without a new host begins anew. */
const unheardAfterMs: Milliseconds = 1.5 * msPerSecond;

/** Maximum number of hosts kept, so that a malformed message cannot exhaust the memory. */
const maxKnown = 1024;

/** Time for which a choice of hosts is cached: each new choice ranks all known hosts. */
const choiceMs: Milliseconds = msPerSecond;

type Choice = {near: readonly string[]; far: readonly string[]; isLarge: boolean; at: Milliseconds};

function groupByZone(known: ReadonlyMap<string, KnownPeer>): Map<ZoneId, string[]> {
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
	const known = new Map<string, KnownPeer>();
	/** Hosts that were unknown when they sent a message, and have had no answer yet. */
	const unanswered = new Set<string>();
	const others = seeds.filter(seed => seed !== self);
	let choice: Choice = {
		near: [], far: [], isLarge: false, at: -Infinity,
	};
	let firstNamed = 0;
	const counts = createKnownCounts(zone, known);
	let grewAt = Infinity;
	let isSettled = false;

	/** Whether no other host was heard in the last rounds, so that others may be unknown. */
	const isUnheard = (now: Milliseconds): boolean => [...known.values()].every(({heardAt}) => now - heardAt > unheardAfterMs);

	function hasSettled(now: Milliseconds): boolean {
		isSettled ||= now - grewAt >= settleMs && !isUnheard(now);
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

	function add(address: string, entry: KnownPeer): boolean {
		const isNew = !known.has(address);
		if (isNew && known.size >= maxKnown) {
			return false;
		}

		const wasSettled = hasSettled(entry.knownAt);
		known.set(address, entry);
		counts.noteAdded();
		if (isNew && !wasSettled) {
			grewAt = entry.knownAt;
		}

		if (isNew && known.size <= mostOfSmallFleet) {
			choice.at = -Infinity;
		}

		return isNew;
	}

	function choose(now: Milliseconds): Choice {
		if (now - choice.at < choiceMs) {
			return choice;
		}

		dropSilent(now);
		counts.note(now);
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

	const reached = createReachedHosts({
		self, zone, seeds, known, counts, hasSettled,
	});

	const isHeard = ({heardAt}: KnownPeer, now: Milliseconds): boolean => now - heardAt <= silentAfterMs;

	const silentSeeds = (now: Milliseconds): string[] => others.filter(seed => {
		const entry = known.get(seed);
		return entry === undefined || !isHeard(entry, now);
	});

	return {
		noteHeard({address, zone: peerZone}, now, {isAsking = false, reachedShare = 1} = {}) {
			if (!hasSettled(now) && isUnheard(now)) {
				grewAt = now;
			}

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
		isFirstFor: key => pickRanked(key, [self, ...known.keys()], 1)[0] === self,
		recordKeepers: (key, now) => pickRecordKeepers(key, {
			self, zone, others: [...known].map(([address, peer]) => ({address, zone: peer.zone})), isLarge: choose(now).isLarge,
		}),
		isLarge: now => choose(now).isLarge,
		silentSeeds,
		likelyPeers(now, {isOtherZoneFirst = false} = {}) {
			const heard = [...known].filter(([, entry]) => isHeard(entry, now)).map(([address]) => address);
			const likely = [...new Set([...heard, ...silentSeeds(now), ...known.keys()])];
			const isElsewhere = (address: string): boolean => (known.get(address)?.zone ?? zone) !== zone;
			return isOtherZoneFirst ? [...likely.filter(address => isElsewhere(address)), ...likely.filter(address => !isElsewhere(address))] : likely;
		},
		takeUnanswered() {
			const addresses = [...unanswered];
			unanswered.clear();
			return addresses;
		},
		count: counts.count,
		isSettled: hasSettled,
		...reached,
		takeAdvertised(now) {
			const heard = [...known].filter(([, entry]) => isHeard(entry, now)).map(([address, {zone: peerZone}]) => ({address, zone: peerZone}));
			firstNamed = heard.length <= namedPeers ? 0 : (firstNamed + namedPeers) % heard.length;
			return [...heard, ...heard].slice(firstNamed, firstNamed + Math.min(namedPeers, heard.length));
		},
	};
}
