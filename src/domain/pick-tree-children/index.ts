import {pickRanked} from '../../_lib/pick-ranked/index.js';
import {type HostId} from '../../ports/ids.js';

const childrenOfHost = 2;

/**
 * Picks the hosts to which a host forwards a message that a root sends to its whole
 * zone. Each round uses a binary tree in another order, which spreads the forwarding
 * over all hosts; a host that fails silently makes some hosts miss one round only.
 *
 * @param round - Name of the round, the same on all hosts that forward it.
 * @param hosts - Live hosts of the zone, the root among them.
 * @param root - The host that began the round.
 * @param self - The host that forwards it.
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
