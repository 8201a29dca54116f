import {toHash32} from '../../_lib/to-hash32/index.js';
import {type ZoneId} from '../../ports/ids.js';
import {type NamedPeer} from '../../ports/shared-loads.js';

type Scored = NamedPeer & {score: number};

const isBetter = (a: Scored, b: Scored): boolean => a.score > b.score || (a.score === b.score && a.address < b.address);

const toRanked = (hosts: Iterable<Scored>): Scored[] => [...hosts].sort((a, b) => isBetter(a, b) ? -1 : 1);

/** Finds the best host of each zone; a key is ranked for each stream, so the others are not sorted. */
function findBestOfZones(scored: readonly Scored[]): ReadonlyMap<ZoneId, Scored> {
	const best = new Map<ZoneId, Scored>();
	for (const host of scored) {
		const before = best.get(host.zone);
		if (before === undefined || isBetter(host, before)) {
			best.set(host.zone, host);
		}
	}

	return best;
}

/**
 * Picks hosts for a key by rendezvous hashing, each of another zone as long as there
 * are zones left, so that the loss of a zone leaves some of them.
 *
 * @param key - Key to place.
 * @param hosts - Candidates.
 * @param count - How many to pick.
 * @returns Addresses, best first: the same on all hosts that know the same candidates.
 *
 * @example
 * ```ts
 * rankAcrossZones('k', [{address: '10.0.0.1:1', zone: 'a'}, {address: '10.0.0.2:1', zone: 'a'}, {address: '10.0.1.1:1', zone: 'b'}], 2).length; // => 2
 * ```
 */
export function rankAcrossZones(key: string, hosts: readonly NamedPeer[], count: number): string[] {
	const scored = hosts.map(({address, zone}) => ({address, zone, score: toHash32(`${key}\n${address}`)}));
	const best = findBestOfZones(scored);
	const firstOfZones = toRanked(best.values());
	const others = firstOfZones.length >= count ? [] : toRanked(scored.filter(host => best.get(host.zone) !== host));
	return [...firstOfZones, ...others].slice(0, count).map(({address}) => address);
}
