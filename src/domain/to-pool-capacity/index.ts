import {type ServerEntry} from '../../ports/config.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';
import {type FleetView, type HostStatus} from '../../ports/view.js';

export type PoolCapacityView = {
	pool: string;
	/** Requests that the pool's servers in reach hold at a time. */
	slots: number;
	/** Part of the slots that is this host's: one over the hosts that are taken to send there. */
	share: number;
	/** Slots in use, as last reported; absent while no server has reported. */
	used?: number;
};

/**
 * Servers that count. When polls reach none of them, all that don't leave
 * count: a lost poll or a stall of this machine looks the same, and a pool
 * without places refuses everybody at once. If they are truly gone, each
 * request finds that out by a reservation, which costs no prefill.
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

/** Share of the near hosts that may be suspected before the suspicion is doubted. */
const suspectLimitShare = 0.5;

/**
 * Hosts that are taken to send to the servers near this one. Where use is not
 * reported, as by plain services, nothing is borrowed, and the places of a
 * silent host would stand idle until it is declared dead, while calls are
 * refused: there a suspected host does not count. If it does live, the service
 * has the load of one host too many until the suspicion ends. Where use is
 * reported, what is free is borrowed within a second or two, and nothing is
 * gained by it.
 *
 * When more than half are suspected, it may be this host that is cut off or was
 * asleep: then all count until they are declared dead, or each would take the
 * whole pool for its own.
 */
function countSenders(hosts: readonly HostStatus[], isUseReported: boolean): number {
	const alive = hosts.filter(({life}) => life === 'alive').length;
	const suspected = hosts.filter(({life}) => life === 'suspect').length;
	const areMostSuspected = suspected > (alive + suspected) * suspectLimitShare;
	return Math.max(1, isUseReported || areMostSuspected ? alive + suspected : alive);
}

/**
 * Works out what each pool can hold and which part of it is this host's. Hosts
 * of one region send to the region's servers, so the part is one over their
 * number, without those suspected where no use is reported; servers that leave
 * don't count, nor those that can't be reached as long as others can.
 *
 * @param view - The fleet as this host knows it.
 * @param zone - This host's availability zone.
 * @returns One entry for each pool of the configuration; none before there is one.
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
