/**
 * Finds orphaned holds on a server: those whose owner no longer exists.
 *
 * An owner that is dead and one that is cut off look alike to this host, so a hold
 * that is being read is never released, as its owner is alive. Any other hold is
 * released only if the agent on the owner's host saw that entry end, or if the owner's
 * host has left or was declared dead by its own zone, which takes two witnesses. An
 * owner that is merely suspected keeps its holds.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type Hold} from '../../ports/engine.js';
import {type HostId, type Owner} from '../../ports/ids.js';
import {type HostStatus} from '../../ports/view.js';

/**
 * - `entry-ended`: the agent on the owner's host saw that entry end, or a newer entry has replaced it.
 * - `host-dead`: the owner's host was declared dead, or has left.
 */
export type OrphanCause = 'entry-ended' | 'host-dead';

export type Orphan = {
	hold: Hold;
	cause: OrphanCause;
};

/**
 * Returns why the holds of an owner are orphaned.
 *
 * @param owner - Host and incarnation of the entry that made the holds.
 * @param hosts - Known hosts.
 * @returns The cause; `undefined` while the owner may be alive, also when its host is unknown or merely suspected.
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
	/** Grace period between the death of a host and the release of its holds, milliseconds. */
	graceMs: Milliseconds;
};

/**
 * Picks the orphans among the holds of one server.
 *
 * @param holds - Holds that the server reports.
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
		const isDue = cause === 'entry-ended' || now - (deadSince.get(hold.owner.host) ?? now) >= graceMs;
		return cause !== undefined && isDue ? [{hold, cause}] : [];
	});
}

/** Returns the key of a hold's attempt. All holds of an attempt are released together, so one reader protects all of them. */
function toAttempt({requestId, attempt}: Hold): string {
	return `${requestId} ${attempt}`;
}
