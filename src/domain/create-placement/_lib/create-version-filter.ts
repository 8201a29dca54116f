/** Restricts a search to the servers of one software version, as only these can continue a stream. */
import {type ServerEntry} from '../../../ports/config.js';
import {type SoftwareVersion} from '../../../ports/ids.js';
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {toOtherZones, type PoolServers, type RoleServers} from './to-pool-index.js';

function filterRole({all, local, nearby, byZone}: RoleServers, isWanted: (server: ServerEntry) => boolean): RoleServers {
	return {
		all: all.filter(server => isWanted(server)),
		local: local.filter(server => isWanted(server)),
		nearby: nearby.filter(server => isWanted(server)),
		byZone: new Map([...byZone].map(([zone, servers]) => [zone, servers.filter(server => isWanted(server))])),
	};
}

function filterServers(servers: PoolServers, softwareVersion: SoftwareVersion | undefined): PoolServers {
	const isWanted = (server: ServerEntry): boolean => server.softwareVersion === softwareVersion;
	const prefill = filterRole(servers.prefill, isWanted);
	const decode = filterRole(servers.decode, isWanted);
	return {
		pool: servers.pool, prefill, decode, plain: filterRole(servers.plain, isWanted), otherZones: toOtherZones([prefill, decode]),
	};
}

/**
 * Creates the filter of one host. It keeps what it has computed for as long as the
 * servers of a pool stay the same, because a waiting request asks many times a second.
 *
 * @returns A function that leaves the servers which can continue a stream; all servers without an origin.
 */
export function createVersionFilter(): (servers: PoolServers, origin: StreamOrigin | undefined) => PoolServers {
	const filtered = new WeakMap<PoolServers, Map<SoftwareVersion | undefined, PoolServers>>();

	return (servers, origin) => {
		if (origin === undefined) {
			return servers;
		}

		const {softwareVersion} = origin;
		const byVersion = filtered.get(servers) ?? new Map<SoftwareVersion | undefined, PoolServers>();
		const ofVersion = byVersion.get(softwareVersion) ?? filterServers(servers, softwareVersion);
		byVersion.set(softwareVersion, ofVersion);
		filtered.set(servers, byVersion);
		return ofVersion;
	};
}
