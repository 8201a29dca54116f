import {toHash32} from '../../../_lib/to-hash32/index.js';
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';

export type ServerNames = {
	/** The server whose name has this hash, as peers send it; `undefined` if none is in force here. */
	findByHash: (hash: number) => ServerId | undefined;
	toZone: (server: ServerId) => ZoneId | undefined;
};

/**
 * Knows the servers of the configuration in force, worked out once for each.
 *
 * @param table - Has the configuration.
 * @returns See {@link ServerNames}.
 */
export function createServerNames(table: Pick<FleetTable, 'accepted'>): ServerNames {
	let known: {accepted: unknown; byHash: ReadonlyMap<number, ServerId>; zones: ReadonlyMap<ServerId, ZoneId>} | undefined;

	function toKnown() {
		const accepted = table.accepted();
		if (!known || known.accepted !== accepted) {
			const servers = accepted?.config.servers ?? [];
			known = {
				accepted,
				byHash: new Map(servers.map(({id}) => [toHash32(id), id])),
				zones: new Map(servers.map(({id, zone}) => [id, zone])),
			};
		}

		return known;
	}

	return {
		findByHash: hash => toKnown().byHash.get(hash),
		toZone: server => toKnown().zones.get(server),
	};
}
