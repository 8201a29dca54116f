import {toHash32} from '../../../_lib/to-hash32/index.js';
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';

export type ServerIndex = {
	/** Finds the server whose id has this hash, as sent by peers; `undefined` if the configuration in force has none. */
	findByHash: (hash: number) => ServerId | undefined;
	toZone: (server: ServerId) => ZoneId | undefined;
};

/**
 * Indexes the servers of the configuration in force. The index is rebuilt when
 * the configuration changes.
 *
 * @param table - Holds the configuration.
 * @returns See {@link ServerIndex}.
 */
export function createServerIndex(table: Pick<FleetTable, 'accepted'>): ServerIndex {
	let index: {accepted: unknown; byHash: ReadonlyMap<number, ServerId>; zones: ReadonlyMap<ServerId, ZoneId>} | undefined;

	function toIndex() {
		const accepted = table.accepted();
		if (!index || index.accepted !== accepted) {
			const servers = accepted?.config.servers ?? [];
			index = {
				accepted,
				byHash: new Map(servers.map(({id}) => [toHash32(id), id])),
				zones: new Map(servers.map(({id, zone}) => [id, zone])),
			};
		}

		return index;
	}

	return {
		findByHash: hash => toIndex().byHash.get(hash),
		toZone: server => toIndex().zones.get(server),
	};
}
