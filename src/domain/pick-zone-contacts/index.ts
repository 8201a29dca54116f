import {pickRanked} from '../../_lib/pick-ranked/index.js';
import {type HostId, type ZoneId} from '../../ports/ids.js';
import {type HostLife} from '../../ports/view.js';

const contactsOfZone = 2;

/**
 * Picks the two hosts of a zone that exchange messages with other zones, by
 * rendezvous hashing over its live hosts, or over suspects where none is alive.
 * Hosts that see the same hosts pick the same contacts.
 *
 * @param zone - The zone.
 * @param hosts - Its known hosts.
 * @returns At most two hosts.
 *
 * @example
 * ```ts
 * pickZoneContacts('dvorana-a', hosts); // => ['dvorana-a-7', 'dvorana-a-2']
 * ```
 */
export function pickZoneContacts(zone: ZoneId, hosts: ReadonlyArray<{id: HostId; life: HostLife}>): HostId[] {
	const alive = hosts.filter(({life}) => life === 'alive');
	const candidates = alive.length > 0 ? alive : hosts.filter(({life}) => life === 'suspect');
	return pickRanked(`bridge ${zone}`, candidates.map(({id}) => id), contactsOfZone);
}
