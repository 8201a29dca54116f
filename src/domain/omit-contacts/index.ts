import {type HostStatus} from '../../ports/view.js';
import {pickZoneContacts} from '../pick-zone-contacts/index.js';

/** Minimum number of live hosts in a zone whose contacts are left out; in a smaller zone every host is needed. */
const minHosts = 16;

type Candidate = Pick<HostStatus, 'id' | 'zone' | 'life'>;

/**
 * Leaves out the two contacts of each large zone, so that they poll no servers.
 * Contacts exchange messages with all other zones; if they also sent the loads that
 * they poll, they would exceed the limit of a host's bytes a second, while the load of
 * the other hosts grows by about a sixteenth only.
 *
 * @param hosts - Live hosts.
 * @returns The hosts that poll.
 *
 * @example
 * ```ts
 * omitContacts(hostsOfOneZone).length; // => 31 of 33, 8 of 8
 * ```
 */
export function omitContacts<Host extends Candidate>(hosts: readonly Host[]): Host[] {
	const byZone = new Map<string, Host[]>();
	for (const host of hosts) {
		const list = byZone.get(host.zone) ?? [];
		list.push(host);
		byZone.set(host.zone, list);
	}

	const contacts = new Set([...byZone].flatMap(([zone, list]) => list.length < minHosts ? [] : pickZoneContacts(zone, list)));
	return hosts.filter(({id}) => !contacts.has(id));
}
