/** The subset of each role's servers that this host sends to first, kept up to the hosts that live. */
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

/** How often the hosts of the view are looked through, milliseconds. */
const refreshEveryMs = 1000;

const toHosts = (view: FleetView, zone: ZoneId, own: HostId): Set<HostId> => {
	const serving = [...view.hosts.values()]
		.filter(host => host.zone === zone && !host.leaving && (host.life === 'alive' || host.life === 'suspect'))
		.map(host => host.id);
	return new Set([...serving, own]);
};

/**
 * Load reports are late, and what other hosts send meanwhile is not seen. With
 * every host choosing among all servers, several choose the same idle one: its
 * queue is long before a report says so. Servers that mostly one host sends to
 * are known to it exactly, by its own count. Hosts that disagree about who lives
 * share some servers for a while, which is how it would be without subsets.
 *
 * @param options - Zone and name of this host; without a name there are no subsets.
 * @returns Functions that follow the view, and tell the subset of a role.
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
		/** @returns Servers of the own zone that this host sends to first; `undefined` where all are alike. */
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
