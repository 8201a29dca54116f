/** The hosts that this one reaches, and which of them keep counts that all hosts share. */
import {pickRanked} from '../../../_lib/pick-ranked/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ZoneId} from '../../../ports/ids.js';
import {msPerSecond} from '../../../ports/units.js';
import {type KnownCounts} from './create-known-counts.js';
import {knownForMs, type KnownPeer} from './known-peer.js';

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

export type ReachedHostsOptions = {
	/** `IP:port` of this host. */
	self: string;
	zone: ZoneId;
	seeds: readonly string[];
	known: ReadonlyMap<string, KnownPeer>;
	counts: Pick<KnownCounts, 'toShareOf'>;
	/** Whether no host was added for some rounds. */
	hasSettled: (now: Milliseconds) => boolean;
};

export type ReachedHosts = {
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
};

/** Hosts in the zones that are heard, their share of all hosts, and the rankings among them that were needed. */
type Reached = {at: Milliseconds; addresses: readonly string[]; share: number; keepers: Map<string, readonly string[]>};

const isHeard = ({heardAt}: KnownPeer, now: Milliseconds): boolean => now - heardAt <= zoneSilentAfterMs;

/**
 * Creates the view of the hosts that one host reaches.
 *
 * @param options - This host, and the hosts that it knows.
 * @returns See {@link ReachedHosts}; `now` is monotonic milliseconds.
 */
export function createReachedHosts({self, zone, seeds, known, counts, hasSettled}: ReachedHostsOptions): ReachedHosts {
	let reached: Reached = {
		at: -Infinity, addresses: [], share: 1, keepers: new Map(),
	};

	/** Finds the zones from which a host was heard lately; always the own one. */
	const findHeardZones = (now: Milliseconds): ReadonlySet<ZoneId> =>
		new Set([zone, ...[...known.values()].filter(peer => isHeard(peer, now)).map(peer => peer.zone)]);

	function findReached(now: Milliseconds): Reached {
		const heard = findHeardZones(now);
		return {
			at: now,
			addresses: [...known].filter(([, peer]) => heard.has(peer.zone) && now - peer.knownAt <= knownForMs).map(([address]) => address),
			share: counts.toShareOf(heard),
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

	return {
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
		toReachedShare(now) {
			const told = [...known.values()].filter(peer => peer.zone === zone && isHeard(peer, now)).map(({reachedShare}) => reachedShare);
			return Math.min(toOwnReachedShare(now), ...told);
		},
		toZoneShare: () => counts.toShareOf(new Set([zone])),
		isAlone: now => [...known.values()].every(peer => !isHeard(peer, now)),
	};
}
