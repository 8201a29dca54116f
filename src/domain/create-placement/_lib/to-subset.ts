import {toHash32} from '../../../_lib/to-hash32/index.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type HostId} from '../../../ports/ids.js';

const toOrdered = (names: Iterable<string>): string[] =>
	[...names].toSorted((a, b) => toHash32(a) - toHash32(b) || (a < b ? -1 : 1));

/**
 * Selects the servers that a host prefers: its slice of the servers, with hosts and
 * servers ordered by the hashes of their names. Slices have equal length and cover
 * all servers; a server on a border, or in a zone with more hosts than servers, is
 * in several slices. When a host joins or leaves, the other slices shift by a part
 * of their length.
 *
 * @param servers - Servers of one role.
 * @param hosts - Hosts among which the servers are divided, in any order.
 * @param own - This host; the subset is empty if `hosts` does not contain it.
 * @returns The servers of the slice, at least one if there are any.
 */
export const toSubset = (servers: readonly ServerEntry[], hosts: Iterable<HostId>, own: HostId): ServerEntry[] => {
	const names = toOrdered(hosts);
	const position = names.indexOf(own);
	if (position === -1) {
		return [];
	}

	const byId = new Map(servers.map(entry => [entry.id, entry]));
	// Multiplying before dividing keeps the borders exact; rounding must not move a server to another slice.
	const first = Math.floor(position * servers.length / names.length);
	const end = Math.ceil((position + 1) * servers.length / names.length);
	return toOrdered(byId.keys()).slice(first, end).map(id => byId.get(id)!);
};
