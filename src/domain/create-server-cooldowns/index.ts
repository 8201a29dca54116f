/**
 * Cooldowns of servers and zones after failures: during a cooldown this host uses a
 * server only if no better one is left. Unlike the ejection of single servers, whose
 * caps disable it when most of a pool looks bad, cooldowns also work during a network
 * partition, when most of a pool is unreachable for this host. Without them each
 * request would wait for one unresponsive server after another.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type ServerEntry} from '../../ports/config.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';
import {msPerSecond} from '../../ports/units.js';

/** Cooldown after the first failure, milliseconds; each further failure doubles it, and one success ends it. */
const firstCooldownMs = msPerSecond;
const maxCooldownMs = 8 * msPerSecond;

/** Number of servers in cooldown that puts their whole zone in cooldown; a single server may have failed by itself. */
const minServersForZone = 2;

export type ServerCooldownsOptions = {
	/** Zone of the host, which is never in cooldown as a whole. */
	zone: ZoneId;
	/** Whether the hosts of a zone have stopped sending messages. */
	isZoneSilent?: (zone: ZoneId, now: Milliseconds) => boolean;
};

type Cooldown = {zone: ZoneId; failures: number; until: Milliseconds; hasAnswered: boolean};

export type ServerCooldowns = {
	noteFailure: (server: ServerEntry, now: Milliseconds) => void;
	/** Records that the server answered but refused work: a cooldown of the server, but no sign against its zone. */
	noteRefusal: (server: ServerEntry, now: Milliseconds) => void;
	noteSuccess: (server: ServerEntry, now: Milliseconds) => void;
	/** Level of a server: 0 normally, 1 if its zone is in cooldown, 2 if the server itself is. */
	toLevel: (server: ServerEntry, now: Milliseconds) => 0 | 1 | 2;
	/** Drops the state of servers that are no longer published. */
	keepOnly: (servers: {has: (id: ServerId) => boolean}) => void;
};

/**
 * Creates the record of one host.
 *
 * @param options - Zone of the host, and whether hosts of other zones are silent.
 * @returns See {@link ServerCooldowns}; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const cooldowns = createServerCooldowns({zone: 'dvorana-a'});
 * cooldowns.noteFailure(server, 0);
 * cooldowns.toLevel(server, 500); // => 2
 * cooldowns.toLevel(server, 1500); // => 0
 * ```
 */
export function createServerCooldowns({zone, isZoneSilent = () => false}: ServerCooldownsOptions): ServerCooldowns {
	const cooldowns = new Map<ServerId, Cooldown>();
	const failedAt = new Map<ZoneId, Milliseconds>();
	const succeededAt = new Map<ZoneId, Milliseconds>();

	/**
	 * Whether a zone is partitioned from this host: neither its hosts nor its servers
	 * answer. Silent hosts alone may have been killed while the servers still serve,
	 * and a failed server may have crashed by itself; if both are the case, the zone
	 * counts as partitioned until a host or a server answers again. With cooldowns of
	 * servers alone, which end after a second, hosts called partitioned servers a
	 * hundred times during a partition of six seconds, at 300 ms each.
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
