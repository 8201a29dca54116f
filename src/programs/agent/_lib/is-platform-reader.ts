/** Picks the hosts of a zone that read the platform. */
import {pickRanked} from '../../../_lib/pick-ranked/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId, type ZoneId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';

const readersOfZone = 2;

/** One more host of the zone reads the platform for each such period without a confirmation from it. */
const moreReadersMs = 15_000;
const mostReaders = 6;

/**
 * Whether a host is one of the hosts of its zone that read the platform.
 *
 * @param self - The host.
 * @param hosts - All known hosts.
 * @param silentMs - Time since the platform last confirmed anything, milliseconds.
 * @returns Whether the host reads. Hosts that know the same live hosts agree on the readers.
 */
export function isPlatformReader(self: {id: HostId; zone: ZoneId}, hosts: Iterable<HostStatus>, silentMs: Milliseconds): boolean {
	const count = Math.min(mostReaders, readersOfZone + Math.floor(silentMs / moreReadersMs));
	const alive = [...hosts].filter(({zone, life}) => zone === self.zone && life === 'alive').map(({id}) => id);
	return pickRanked(`reader ${self.zone}`, alive, count).includes(self.id);
}
