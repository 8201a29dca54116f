import {type HostId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';

/** Below this many other live hosts, every host sends loads to all others. In a larger fleet the bytes would exceed the budget, so loads stay within a zone. */
const defaultSmallFleet = 40;

/**
 * Whether the loads of all servers are sent to all hosts.
 *
 * @param self - This host.
 * @param hosts - Known hosts.
 * @param limit - Number of other live hosts at which a fleet is large.
 * @returns `true` while there are fewer other live hosts than the limit.
 */
export function isSmallFleet(self: HostId, hosts: ReadonlyMap<HostId, HostStatus>, limit = defaultSmallFleet): boolean {
	let others = 0;
	for (const {id, life} of hosts.values()) {
		others += id !== self && life === 'alive' ? 1 : 0;
	}

	return others < limit;
}
