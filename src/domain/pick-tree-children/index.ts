import {pickRanked} from '../../_lib/pick-ranked/index.js';
import {type HostId} from '../../ports/ids.js';

const childrenOfHost = 2;

/**
 * Picks the hosts to which a host passes on what a root tells its whole zone.
 * Each round is a binary tree in another order, so that the sending falls on all
 * alike, and a host that fails silently costs some of its zone one round only.
 *
 * @param round - Name of the round, the same for all that pass it on.
 * @param hosts - Live hosts of the zone, the root among them.
 * @param root - Who began the round.
 * @param self - Who passes it on.
 * @returns At most two hosts; none for a host that is not among `hosts`.
 *
 * @example
 * ```ts
 * pickTreeChildren('a 7', ['a', 'b', 'c'], 'a', 'a').length; // => 2
 * ```
 */
export function pickTreeChildren(round: string, hosts: readonly HostId[], root: HostId, self: HostId): HostId[] {
	const order = [root, ...pickRanked(round, hosts.filter(id => id !== root), hosts.length)];
	const position = order.indexOf(self);
	const first = (position * childrenOfHost) + 1;
	return position === -1 ? [] : order.slice(first, first + childrenOfHost);
}
