import {type HostId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';

/** Below this many other live hosts all pass loads to all; from it on each zone keeps to itself, or the bytes would not fit. */
const defaultSmallFleet = 40;

/**
 * @param self - This host.
 * @param hosts - Known hosts.
 * @param limit - Other live hosts from which on the fleet is large.
 * @returns Whether the loads of all servers travel to all hosts.
 */
export function isSmallFleet(self: HostId, hosts: ReadonlyMap<HostId, HostStatus>, limit = defaultSmallFleet): boolean {
	let others = 0;
	for (const {id, life} of hosts.values()) {
		others += id !== self && life === 'alive' ? 1 : 0;
	}

	return others < limit;
}
