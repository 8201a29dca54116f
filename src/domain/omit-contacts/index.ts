import {type HostStatus} from '../../ports/view.js';
import {pickZoneContacts} from '../pick-zone-contacts/index.js';

/** Live hosts from which on a zone does without its contacts; in a smaller one each is needed. */
const manyHosts = 16;

type Candidate = Pick<HostStatus, 'id' | 'zone' | 'life'>;

/**
 * Leaves out the two contacts of each large zone, so that they poll no servers:
 * they speak for the zone with all others, and to tell polled loads as well
 * would take them over a host's bytes a second, while the others hardly notice
 * a sixteenth more.
 *
 * @param hosts - Live hosts.
 * @returns Those that poll.
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

	const contacts = new Set([...byZone].flatMap(([zone, list]) => list.length < manyHosts ? [] : pickZoneContacts(zone, list)));
	return hosts.filter(({id}) => !contacts.has(id));
}
