import {toHash32} from '../../../_lib/to-hash32/index.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type HostId} from '../../../ports/ids.js';

const toOrdered = (names: Iterable<string>): string[] =>
	[...names].toSorted((a, b) => toHash32(a) - toHash32(b) || (a < b ? -1 : 1));

/**
 * The servers that a host sends to first: its slice of a ring on which servers
 * and hosts stand in the order of their names' hashes. Slices are equally long
 * and cover all servers; a server on a border, or in a zone with more hosts
 * than servers, is in several. A host that comes or goes moves the others'
 * slices by a part of their length.
 *
 * @param servers - Servers of one role.
 * @param hosts - Hosts among which they are divided, in any order.
 * @param own - This host; without it in `hosts` there is no subset.
 * @returns The servers of the slice, at least one if there are any.
 */
export const toSubset = (servers: readonly ServerEntry[], hosts: Iterable<HostId>, own: HostId): ServerEntry[] => {
	const names = toOrdered(hosts);
	const position = names.indexOf(own);
	if (position === -1) {
		return [];
	}

	const byId = new Map(servers.map(entry => [entry.id, entry]));
	// Whole numbers until the division: a border must not fall to either side by rounding.
	const first = Math.floor(position * servers.length / names.length);
	const end = Math.ceil((position + 1) * servers.length / names.length);
	return toOrdered(byId.keys()).slice(first, end).map(id => byId.get(id)!);
};
