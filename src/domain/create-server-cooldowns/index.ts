/**
 * Servers, and zones, that this host does better not to try first: soft, unlike
 * the ejection of single servers, whose caps give up where most of a pool looks
 * bad. Behind a cut most of a pool is bad, for this host: each request would find
 * that out anew, one silent server after the other.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type ServerEntry} from '../../ports/config.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';
import {msPerSecond} from '../../ports/units.js';

/** Doubt after the first failure; it doubles with each that follows, and one success ends it. */
const firstCooldownMs = msPerSecond;
const maxCooldownMs = 8 * msPerSecond;

/** Servers of a zone that must be in doubt for the way to the zone to be: one may have failed by itself. */
const minServersForZone = 2;

export type ServerCooldownsOptions = {
	/** Zone of the host, to which the way is never in doubt. */
	zone: ZoneId;
	/** Whether the hosts of a zone, which spoke before, have fallen silent. */
	isZoneSilent?: (zone: ZoneId, now: Milliseconds) => boolean;
};

type Cooldown = {zone: ZoneId; failures: number; until: Milliseconds; hasAnswered: boolean};

export type ServerCooldowns = {
	noteFailure: (server: ServerEntry, now: Milliseconds) => void;
	/** It answered, and takes no work: a doubt of the server, and none of the way to its zone. */
	noteRefusal: (server: ServerEntry, now: Milliseconds) => void;
	noteSuccess: (server: ServerEntry, now: Milliseconds) => void;
	/** 0 for a server that nothing speaks against, 1 in a zone in doubt, 2 in doubt itself. */
	toLevel: (server: ServerEntry, now: Milliseconds) => 0 | 1 | 2;
	/** Drops what is known of servers that are no longer published. */
	keepOnly: (servers: {has: (id: ServerId) => boolean}) => void;
};

/**
 * Creates the record of one host.
 *
 * @param options - Zone of the host, and what is heard of others.
 * @returns Functions that note and tell; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const doubts = createDoubts({zone: 'dvorana-a'});
 * doubts.noteFailure(server, 0);
 * doubts.toLevel(server, 500); // => 2
 * doubts.toLevel(server, 1500); // => 0
 * ```
 */
export function createServerCooldowns({zone, isZoneSilent = () => false}: ServerCooldownsOptions): ServerCooldowns {
	const cooldowns = new Map<ServerId, Cooldown>();
	const failedAt = new Map<ZoneId, Milliseconds>();
	const succeededAt = new Map<ZoneId, Milliseconds>();

	/**
	 * Behind a cut neither hosts nor servers of the zone answer. Silent hosts alone
	 * may have been killed while the servers serve, and a server that failed may
	 * have crashed by itself; both together hold until either is heard again. With
	 * doubts of servers alone, which end after a second, the hosts of a zone that
	 * was cut off for six tried what lay behind the cut a hundred times, 300 ms each.
	 */
	function isPartitioned(other: ZoneId, now: Milliseconds): boolean {
		return (failedAt.get(other) ?? -Infinity) > (succeededAt.get(other) ?? -Infinity) && isZoneSilent(other, now);
	}

	function isZoneInCooldown(other: ZoneId, now: Milliseconds): boolean {
		if (other === zone) {
			return false;
		}

		if (isPartitioned(other, now)) {
			return true;
		}

		let count = 0;
		for (const cooldown of cooldowns.values()) {
			count += cooldown.zone === other && !cooldown.hasAnswered && cooldown.until > now ? 1 : 0;
		}

		return count >= minServersForZone;
	}

	function add({id, zone: serverZone}: ServerEntry, hasAnswered: boolean, now: Milliseconds): void {
		const failures = (cooldowns.get(id)?.failures ?? 0) + 1;
		cooldowns.set(id, {
			zone: serverZone, failures, hasAnswered, until: now + Math.min(maxCooldownMs, firstCooldownMs * (2 ** (failures - 1))),
		});
	}

	return {
		noteFailure(server, now) {
			failedAt.set(server.zone, now);
			add(server, false, now);
		},
		noteRefusal(server, now) {
			succeededAt.set(server.zone, now);
			add(server, true, now);
		},
		noteSuccess(server, now) {
			succeededAt.set(server.zone, now);
			cooldowns.delete(server.id);
		},
		toLevel(server, now) {
			const isInCooldown = (cooldowns.get(server.id)?.until ?? -Infinity) > now;
			return isInCooldown ? 2 : (isZoneInCooldown(server.zone, now) ? 1 : 0);
		},
		keepOnly(servers) {
			for (const id of cooldowns.keys()) {
				if (!servers.has(id)) {
					cooldowns.delete(id);
				}
			}
		},
	};
}
