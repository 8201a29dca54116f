import {pickRanked} from '../../_lib/pick-ranked/index.js';
import {type NamedPeer} from '../../ports/shared-loads.js';

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
	const zones = new Map(hosts.map(({address, zone}) => [address, zone]));
	const ranked = pickRanked(key, zones.keys(), hosts.length);
	const seen = new Set<string>();
	const firstOfZone = ranked.filter(address => {
		const zone = zones.get(address)!;
		const isFirst = !seen.has(zone);
		seen.add(zone);
		return isFirst;
	});
	return [...new Set([...firstOfZone, ...ranked])].slice(0, count);
}
