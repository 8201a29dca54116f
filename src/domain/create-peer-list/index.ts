/**
 * Which other hosts to talk to, where no list of hosts is published: some seeds
 * to begin with, and whoever speaks or is named by one who does.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type ZoneId} from '../../ports/ids.js';
import {msPerSecond} from '../../ports/units.js';

export type PeerListOptions = {
	/** `IP:port` of this host, which is no peer of its own. */
	self: string;
	zone: ZoneId;
	/** `IP:port` of hosts that may be there. */
	seeds: readonly string[];
};

export type PeerList = {
	/** A host spoke. Tells whether it was silent before. */
	noteHeard: (address: string, zone: ZoneId, now: Milliseconds) => boolean;
	/** A host named others. */
	noteNamed: (addresses: readonly string[], now: Milliseconds) => void;
	/** Hosts that spoke lately, at most {@link maxPeers}, those of the own zone first. */
	living: (now: Milliseconds) => readonly string[];
	/** Hosts that should hear of this one: seeds and named ones that have not spoken lately. */
	toGreet: (now: Milliseconds) => readonly string[];
};

/** Silence after which a host is no longer told anything but greetings: six of its messages. */
const silentAfterMs: Milliseconds = 3 * msPerSecond;

/** Time for which a host that somebody named, and that does not speak, is greeted. */
const greetForMs: Milliseconds = 10 * msPerSecond;

/**
 * Hosts that each host talks to. Some 300 bytes to each at four changes a second
 * are 19 KB/s with 16; with all of 400 they would be half a megabyte.
 */
export const maxPeers = 16;

/** Named hosts that are kept; an odd message must not fill the memory. */
const maxNamed = 64;

type Peer = {zone: ZoneId; at: Milliseconds};

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
	const heard = new Map<string, Peer>();
	const named = new Map<string, Milliseconds>();
	const others = seeds.filter(seed => seed !== self);

	const isLiving = (address: string, now: Milliseconds): boolean => now - (heard.get(address)?.at ?? -Infinity) <= silentAfterMs;

	function dropSilent(now: Milliseconds): void {
		for (const address of heard.keys()) {
			if (!isLiving(address, now)) {
				heard.delete(address);
			}
		}

		for (const [address, at] of named) {
			if (now - at > greetForMs) {
				named.delete(address);
			}
		}
	}

	return {
		noteHeard(address, peerZone, now) {
			const isNew = !isLiving(address, now);
			heard.set(address, {zone: peerZone, at: now});
			named.delete(address);
			return isNew;
		},
		noteNamed(addresses, now) {
			for (const address of addresses) {
				if (address !== self && !isLiving(address, now) && (named.has(address) || named.size < maxNamed)) {
					named.set(address, now);
				}
			}
		},
		living(now) {
			dropSilent(now);
			return [...heard]
				.toSorted(([, a], [, b]) => Number(b.zone === zone) - Number(a.zone === zone))
				.slice(0, maxPeers)
				.map(([address]) => address);
		},
		toGreet(now) {
			dropSilent(now);
			return [...new Set([...others, ...named.keys()])].filter(address => !isLiving(address, now));
		},
	};
}
