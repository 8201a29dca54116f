import {pickRanked} from '../../_lib/pick-ranked/index.js';
import {type ServerEntry} from '../../ports/config.js';
import {type HostId} from '../../ports/ids.js';
import {type HostStatus} from '../../ports/view.js';

/**
 * Picks the hosts whose agents poll a server: hosts of the server's zone, or of
 * any zone when none of its zone is alive. All hosts that know the same live hosts
 * pick the same pollers, and a host that leaves moves only its own servers.
 *
 * @param server - The server.
 * @param hosts - Known hosts; those alive are candidates.
 * @param count - How many to pick.
 * @returns Hosts; the first one also sends the server its orders.
 *
 * @example
 * ```ts
 * pickPollers(server, view.hosts, 1); // => ['dvorana-a-2']
 * ```
 */
export function pickPollers(server: Pick<ServerEntry, 'id' | 'zone'>, hosts: Iterable<Pick<HostStatus, 'id' | 'zone' | 'life'>>, count: number): HostId[] {
	const alive = [...hosts].filter(({life}) => life === 'alive');
	const near = alive.filter(({zone}) => zone === server.zone);
	return pickRanked(server.id, (near.length > 0 ? near : alive).map(({id}) => id), count);
}
