import {err, ok, type Result} from 'neverthrow';
import {isRecord} from '../../_lib/is-record/index.js';
import {type FleetList, type FleetState} from '../../ports/platform.js';

export type FleetListFault = {
	message: string;
};

function isState(value: unknown): value is FleetState {
	return value === 'live' || value === 'leaving';
}

function isHost(value: unknown): value is FleetList['hosts'][number] {
	return isRecord(value) && typeof value.id === 'string' && isState(value.state) && typeof value.peerAddress === 'string';
}

function isServer(value: unknown): value is FleetList['servers'][number] {
	return isRecord(value) && typeof value.id === 'string' && isState(value.state);
}

function toFault(place: string, i: number, wants: string) {
	return err({message: `Item ${i} of ${place} in the platform's fleet value is not valid; it needs ${wants}.`});
}

/**
 * Parses the platform's `fleet` value.
 *
 * @param text - JSON text.
 * @returns The list, or an error that says which item is invalid. A list with one invalid item is rejected as a whole: without the item, its host would count as gone.
 *
 * @example
 * ```ts
 * parseFleetList('{"hosts": [], "servers": []}'); // => ok({hosts: [], servers: []})
 * ```
 */
export function parseFleetList(text: string): Result<FleetList, FleetListFault> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return err({message: 'The platform\'s fleet value is not JSON; publish {"hosts": [...], "servers": [...]}.'});
	}

	if (!isRecord(value) || !Array.isArray(value.hosts) || !Array.isArray(value.servers)) {
		return err({message: 'The platform\'s fleet value has no lists "hosts" and "servers"; publish both, empty ones included.'});
	}

	const {hosts} = value;
	const {servers} = value;
	const badHost = hosts.findIndex(host => !isHost(host));
	if (badHost !== -1) {
		return toFault('hosts', badHost, 'id, state (live or leaving) and peerAddress');
	}

	const badServer = servers.findIndex(server => !isServer(server));
	if (badServer !== -1) {
		return toFault('servers', badServer, 'id and state (live or leaving)');
	}

	return ok({hosts: hosts.filter(host => isHost(host)), servers: servers.filter(server => isServer(server))});
}
