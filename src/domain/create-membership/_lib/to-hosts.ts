import {type HostId, type ZoneId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';
import {type HostRecord} from './types.js';

/**
 * Turns records into what entries see.
 *
 * @param all - The records.
 * @param staleZones - Zones that nobody here has heard for long.
 * @param prev - What was shown before; a status that did not change stays the same object.
 * @returns Statuses by host.
 */
export function toHosts(all: Iterable<HostRecord>, staleZones: ReadonlySet<ZoneId>, prev: ReadonlyMap<HostId, HostStatus> | undefined): ReadonlyMap<HostId, HostStatus> {
	const hosts = new Map<HostId, HostStatus>();
	for (const {
		id, zone, life, incarnation, entryAddress, entryIncarnation, entryGone, agentAddress, leaving,
	} of all) {
		// A zone that nobody here hears may be cut off or gone; its hosts are no longer known to be alive.
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
