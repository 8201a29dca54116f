/** Indexes the servers of a configuration by pool, role and zone. */
import {
	type Config, type PoolEntry, type ServerEntry, type ServerRole,
} from '../../../ports/config.js';
import {type RegionId, type ServerId, type ZoneId} from '../../../ports/ids.js';

export type RoleServers = {
	all: readonly ServerEntry[];
	local: readonly ServerEntry[];
	/** Servers of this host's region, its own zone left out. */
	nearby: readonly ServerEntry[];
	/** Servers of each other zone. */
	byZone: ReadonlyMap<ZoneId, readonly ServerEntry[]>;
};

export type PoolServers = {
	pool: PoolEntry;
	prefill: RoleServers;
	decode: RoleServers;
	plain: RoleServers;
	/** Other zones with prefill or decode servers of the pool; zones of the own region have distance 0, others 1. */
	otherZones: ReadonlyArray<{zone: ZoneId; distance: number}>;
};

export type PoolIndex = {
	pools: ReadonlyMap<string, PoolServers>;
	servers: ReadonlyMap<ServerId, ServerEntry>;
};

const toRoleServers = (servers: readonly ServerEntry[], role: ServerRole, zone: ZoneId, regionOf: (zone: ZoneId) => RegionId | undefined): RoleServers => {
	const all = servers.filter(server => server.role === role);
	const region = regionOf(zone);
	const byZone = new Map<ZoneId, ServerEntry[]>();
	for (const server of all.filter(({zone: other}) => other !== zone)) {
		const list = byZone.get(server.zone) ?? [];
		list.push(server);
		byZone.set(server.zone, list);
	}

	return {
		byZone,
		all,
		local: all.filter(server => server.zone === zone),
		nearby: all.filter(server => server.zone !== zone && region !== undefined && regionOf(server.zone) === region),
	};
};

export function toOtherZones(roles: readonly RoleServers[]): PoolServers['otherZones'] {
	const zones = new Set(roles.flatMap(({byZone}) => [...byZone.keys()]));
	const near = new Set(roles.flatMap(({nearby}) => nearby.map(server => server.zone)));
	return [...zones].map(zone => ({zone, distance: near.has(zone) ? 0 : 1}));
}

/**
 * Builds the index.
 *
 * @param config - The accepted configuration.
 * @param zone - Zone of this host.
 * @param regionOf - Region of a zone; `undefined` takes it from the configuration.
 * @returns Each pool's servers by role, own zone and own region.
 */
export const toPoolIndex = (config: Config, zone: ZoneId, regionOf: ((zone: ZoneId) => RegionId | undefined) | undefined): PoolIndex => {
	const regions = new Map(config.zones.map(entry => [entry.id, entry.region]));
	const toRegion = regionOf ?? ((id: ZoneId) => regions.get(id));
	const byPool = new Map<string, ServerEntry[]>();
	for (const server of config.servers) {
		const list = byPool.get(server.pool) ?? [];
		list.push(server);
		byPool.set(server.pool, list);
	}

	const pools = config.pools.map((pool): [string, PoolServers] => {
		const servers = byPool.get(pool.name) ?? [];
		const prefill = toRoleServers(servers, 'prefill', zone, toRegion);
		const decode = toRoleServers(servers, 'decode', zone, toRegion);
		return [pool.name, {
			pool,
			prefill,
			decode,
			otherZones: toOtherZones([prefill, decode]),
			plain: toRoleServers(servers, 'plain', zone, toRegion),
		}];
	});
	return {pools: new Map(pools), servers: new Map(config.servers.map(server => [server.id, server]))};
};
