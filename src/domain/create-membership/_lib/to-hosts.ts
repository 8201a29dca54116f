import {type HostId, type ZoneId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';
import {type HostRecord} from './types.js';

/**
 * Turns records into the host statuses that entries see.
 *
 * @param all - The records.
 * @param staleZones - Zones from which no host of this zone has had a message within the zone timeout.
 * @param prev - The previous statuses; a status that did not change stays the same object.
 * @returns Statuses by host.
 */
export function toHosts(all: Iterable<HostRecord>, staleZones: ReadonlySet<ZoneId>, prev: ReadonlyMap<HostId, HostStatus> | undefined): ReadonlyMap<HostId, HostStatus> {
	const hosts = new Map<HostId, HostStatus>();
	for (const {
		id, zone, life, incarnation, entryAddress, entryIncarnation, entryGone, agentAddress, leaving,
	} of all) {
		// A stale zone may be cut off or down; its hosts are no longer known to be alive.
		const shownLife = life === 'alive' && staleZones.has(zone) ? 'suspect' : life;
		const status: HostStatus = {
			id, zone, life: shownLife, incarnation, entryAddress, entryIncarnation, entryGone, agentAddress, leaving,
		};
		const before = prev?.get(id);
		const isSame = before !== undefined && Object.entries(status).every(([key, value]) => before[key as keyof HostStatus] === value);
		hosts.set(id, isSame ? before : status);
	}

	return hosts;
}
