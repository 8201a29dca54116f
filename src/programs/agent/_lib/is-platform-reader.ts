/** Who of a zone reads the platform. */
import {pickRanked} from '../../../_lib/pick-ranked/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId, type ZoneId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';

const readersOfZone = 2;

/** Without news of the platform for this long, one more host of the zone reads it; and so on. */
const moreReadersMs = 15_000;
const mostReaders = 6;

/**
 * Whether a host is among the readers of its zone.
 *
 * @param self - The host.
 * @param hosts - All known hosts.
 * @param silentMs - Time since the platform last confirmed anything, milliseconds.
 * @returns The same on all hosts that know the same hosts alive.
 */
export function isPlatformReader(self: {id: HostId; zone: ZoneId}, hosts: Iterable<HostStatus>, silentMs: Milliseconds): boolean {
	const count = Math.min(mostReaders, readersOfZone + Math.floor(silentMs / moreReadersMs));
	const alive = [...hosts].filter(({zone, life}) => zone === self.zone && life === 'alive').map(({id}) => id);
	return pickRanked(`reader ${self.zone}`, alive, count).includes(self.id);
}
