import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {omitContacts} from '../../../domain/omit-contacts/index.js';
import {pickPollers} from '../../../domain/pick-pollers/index.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type HostId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';

/**
 * Caches the list of servers that this host polls. The list is read several
 * times a second and computing it scores each server against each host, so it is
 * computed again only when the configuration or the hosts have changed.
 *
 * @param options - Sources of configuration and hosts, and the id of this host.
 * @returns A function that returns the list.
 */
export function createPolledServers({table, hosts, hostId}: {
	table: FleetTable;
	hosts: () => ReadonlyMap<HostId, HostStatus>;
	hostId: HostId;
}): () => readonly ServerEntry[] {
	let cached: {accepted: unknown; hosts: unknown; servers: readonly ServerEntry[]} | undefined;

	return () => {
		const accepted = table.accepted();
		const known = hosts();
		if (!cached || cached.accepted !== accepted || cached.hosts !== known) {
			const pollers = omitContacts([...known.values()].filter(({life}) => life === 'alive'));
			const servers = accepted?.config.servers.filter(server => server.role !== 'plain' && pickPollers(server, pollers, 1)[0] === hostId) ?? [];
			cached = {accepted, hosts: known, servers};
		}

		return cached.servers;
	};
}
