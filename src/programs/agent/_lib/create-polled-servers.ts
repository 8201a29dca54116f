import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {omitContacts} from '../../../domain/omit-contacts/index.js';
import {pickPollers} from '../../../domain/pick-pollers/index.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type HostId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';

/**
 * Keeps the list of servers that this host polls. It is asked for several times
 * a second and scores each server against each host, so it is made anew only
 * when configuration or hosts have changed.
 *
 * @param options - Where configuration and hosts come from, and who we are.
 * @returns A function that gives the list.
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
