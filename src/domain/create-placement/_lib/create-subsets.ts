/** Maintains the subset of each role's servers that this host prefers, according to the hosts that are alive. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type HostId, type ZoneId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';
import {type RoleServers} from './to-pool-index.js';
import {toSubset} from './to-subset.js';

export type Subset = {
	servers: readonly ServerEntry[];
	has: (entry: ServerEntry) => boolean;
};

/** Interval at which the hosts of the view are scanned, milliseconds. */
const refreshEveryMs = 1000;

const toHosts = (view: FleetView, zone: ZoneId, own: HostId): Set<HostId> => {
	const serving = [...view.hosts.values()]
		.filter(host => host.zone === zone && !host.leaving && (host.life === 'alive' || host.life === 'suspect'))
		.map(host => host.id);
	return new Set([...serving, own]);
};

/**
 * Creates the subsets of one host. Load reports lag, and a host does not see what
 * other hosts send in the meantime. If every host chose among all servers, several
 * would choose the same idle server, and its queue would be long before a report
 * shows it. Where mostly one host sends to a server, that host's own count is
 * exact. Hosts that disagree about which hosts are alive share some servers for a
 * while, which is no worse than without subsets.
 *
 * @param options - Zone and name of this host; without a name there are no subsets.
 * @returns Functions that follow the view, and that read the subset of a role.
 */
export const createSubsets = ({zone, host}: {zone: ZoneId; host: HostId | undefined}) => {
	let hosts: ReadonlySet<HostId> = new Set();
	let refreshedAt = -Infinity;
	let subsets = new WeakMap<RoleServers, Subset>();

	return {
		refresh(view: FleetView, now: Milliseconds): void {
			if (host === undefined || now - refreshedAt < refreshEveryMs) {
				return;
			}

			refreshedAt = now;
			const next = toHosts(view, zone, host);
			if (next.size !== hosts.size || [...next].some(id => !hosts.has(id))) {
				hosts = next;
				subsets = new WeakMap();
			}
		},
		/** @returns Servers of the own zone that this host prefers; `undefined` without subsets. */
		read(role: RoleServers): Subset | undefined {
			if (host === undefined) {
				return undefined;
			}

			const known = subsets.get(role);
			if (known !== undefined) {
				return known;
			}

			const servers = toSubset(role.local, hosts, host);
			const members = new Set(servers);
			const subset: Subset = {servers, has: entry => members.has(entry)};
			subsets.set(role, subset);
			return subset;
		},
	};
};

export type Subsets = ReturnType<typeof createSubsets>;
