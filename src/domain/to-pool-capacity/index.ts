import {type ServerEntry} from '../../ports/config.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';
import {type FleetView, type HostStatus} from '../../ports/view.js';

export type PoolCapacityView = {
	pool: string;
	/** Number of requests that the pool's servers in this host's region hold at a time. */
	slots: number;
	/** This host's share of the slots: one over the number of hosts that are assumed to send requests there. */
	share: number;
	/** Slots in use in the last reports; absent while no server has reported. */
	used?: number;
};

/**
 * Selects the servers that count as capacity. When polls reach none of them, all
 * servers that are not leaving count: lost polls or a stall of this machine look the
 * same as lost servers, and a pool without places would refuse every request. If the
 * servers are really gone, each request fails at its reservation, which costs no
 * prefill.
 */
function toInService(view: FleetView, servers: readonly ServerEntry[]): readonly ServerEntry[] {
	const staying = servers.filter(({id}) => !view.servers.get(id)?.leaving);
	const reached = staying.filter(({id}) => view.servers.get(id)?.reachable !== false);
	return reached.length > 0 ? reached : staying;
}

function toUsed(view: FleetView, servers: ReadonlyArray<{id: ServerId}>): number | undefined {
	const reported = servers.map(server => view.servers.get(server.id)?.load?.slotsUsed).filter(used => used !== undefined);
	return reported.length === 0 ? undefined : reported.reduce((sum, used) => sum + used, 0);
}

/** Share of suspected hosts in the region above which suspicions are ignored. */
const suspectLimitShare = 0.5;

/**
 * Counts the hosts that are assumed to send requests to the servers of this host's
 * region. Where use is not reported, as with plain services, nothing is borrowed. The
 * places of a silent host would be idle until the host is declared dead, while calls
 * are refused; so a suspected host does not count there. If the host is alive after
 * all, the service has the load of one host too many until the suspicion ends. Where
 * use is reported, free places are borrowed within a second or two, so suspected hosts
 * count.
 *
 * When more than half of the hosts are suspected, this host itself may be partitioned
 * or may have been paused. Then all hosts count until they are declared dead;
 * otherwise each host would take the whole pool as its own.
 */
function countSenders(hosts: readonly HostStatus[], isUseReported: boolean): number {
	const alive = hosts.filter(({life}) => life === 'alive').length;
	const suspected = hosts.filter(({life}) => life === 'suspect').length;
	const areMostSuspected = suspected > (alive + suspected) * suspectLimitShare;
	return Math.max(1, isUseReported || areMostSuspected ? alive + suspected : alive);
}

/**
 * Computes the capacity of each pool and this host's share of it. Hosts of a region
 * send to the region's servers, so the share is one over the number of hosts; where no
 * use is reported, suspected hosts are left out. Servers that are leaving don't count,
 * and unreachable servers count only if no other server is reachable.
 *
 * @param view - The fleet view of this host.
 * @param zone - This host's availability zone.
 * @returns One entry per pool of the configuration; empty before a configuration is accepted.
 *
 * @example
 * ```ts
 * toPoolCapacity(view, 'dvorana-a'); // => [{pool: 'desk', slots: 40, share: 0.5}]
 * ```
 */
export function toPoolCapacity(view: FleetView, zone: ZoneId): PoolCapacityView[] {
	const config = view.accepted?.config;
	if (config === undefined) {
		return [];
	}

	const regionOf = new Map(config.zones.map(entry => [entry.id, entry.region]));
	const isNear = (other: ZoneId) => regionOf.get(other) === regionOf.get(zone);
	const hosts = [...view.hosts.values()].filter(host => isNear(host.zone));
	return config.pools.map(({name}) => {
		const servers = toInService(view, config.servers.filter(server => server.pool === name && server.role !== 'prefill' && isNear(server.zone)));
		const slots = servers.reduce((sum, server) => sum + (view.servers.get(server.id)?.load?.slotsTotal ?? server.slots), 0);
		const used = toUsed(view, servers);
		return {
			pool: name, slots, share: 1 / countSenders(hosts, used !== undefined), ...(used !== undefined && {used}),
		};
	});
}
