/**
 * Tells which holds on a server belong to nobody any more.
 *
 * A holder that is dead and one that is only cut off from us look alike from
 * here, so three things are asked of a hold before it is released: whether
 * somebody reads it (then its holder lives, whatever we see), whether its
 * holder's own agent saw it end, and whether two witnesses of its own zone
 * declared its host dead. A holder that is merely suspected keeps everything.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type Hold} from '../../ports/engine.js';
import {type HostId, type Owner} from '../../ports/ids.js';
import {type HostStatus} from '../../ports/view.js';

/**
 * - `entry-ended`: the agent of its host saw this entry end, or a newer one is in its place.
 * - `host-dead`: its host was declared dead, or has left.
 */
export type OrphanCause = 'entry-ended' | 'host-dead';

export type Orphan = {
	hold: Hold;
	cause: OrphanCause;
};

/**
 * Tells why an owner has no more claim to its holds.
 *
 * @param owner - Host and incarnation of the entry that made the holds.
 * @param hosts - Known hosts.
 * @returns The cause; `undefined` while the owner may have a claim, also when its host is unknown or merely suspected.
 *
 * @example
 * ```ts
 * toOrphanCause({host: 'a-1', incarnation: 1}, new Map()); // => undefined
 * ```
 */
export function toOrphanCause({host, incarnation}: Owner, hosts: ReadonlyMap<HostId, HostStatus>): OrphanCause | undefined {
	const status = hosts.get(host);
	if (!status) {
		return undefined;
	}

	if (incarnation <= (status.entryGone ?? 0)) {
		return 'entry-ended';
	}

	return status.life === 'dead' || status.life === 'left' ? 'host-dead' : undefined;
}

export type PickOrphansOptions = {
	/** When each host was first seen dead here, monotonic milliseconds. */
	deadSince: ReadonlyMap<HostId, Milliseconds>;
	/** Time between the death and the release, milliseconds. */
	graceMs: Milliseconds;
};

/**
 * Picks the orphans among the holds of one server.
 *
 * @param holds - What the server lists.
 * @param hosts - Known hosts.
 * @param now - Monotonic milliseconds.
 * @param options - See {@link PickOrphansOptions}.
 * @returns Holds to release, with the cause.
 *
 * @example
 * ```ts
 * const orphans = pickOrphans(holds, view.hosts, now, {deadSince, graceMs: 500});
 * ```
 */
export function pickOrphans(holds: readonly Hold[], hosts: ReadonlyMap<HostId, HostStatus>, now: Milliseconds, {deadSince, graceMs}: PickOrphansOptions): Orphan[] {
	const unread = new Set(holds.map(hold => toAttempt(hold)));
	for (const hold of holds) {
		if (hold.readers > 0) {
			unread.delete(toAttempt(hold));
		}
	}

	return holds.flatMap(hold => {
		const cause = unread.has(toAttempt(hold)) ? toOrphanCause(hold.owner, hosts) : undefined;
		const isRipe = cause === 'entry-ended' || now - (deadSince.get(hold.owner.host) ?? now) >= graceMs;
		return cause !== undefined && isRipe ? [{hold, cause}] : [];
	});
}

/** All that an attempt holds is released together, so one reader protects all of it. */
function toAttempt({requestId, attempt}: Hold): string {
	return `${requestId} ${attempt}`;
}
