/** The load that other hosts have in flight at each server, from their latest messages. */
import {type Milliseconds} from '../../ports/clock.js';
import {type HostId, type ServerId, type ZoneId} from '../../ports/ids.js';
import {type HostLoad, type LoadMessage} from '../../ports/shared-loads.js';

/**
 * Default age beyond which a host's loads are ignored. A live host of a small fleet
 * sends every 500 ms, so three messages in a row must be lost before its loads expire.
 * The requests of a killed host end with its connections.
 */
const defaultMaxAgeMs: Milliseconds = 1500;

/**
 * Silence of all other zones after which this host counts as isolated. In a fleet of
 * any size several hosts of other zones send to each host every second, so that
 * their silence together is certain sooner than the silence of one zone.
 */
const isolatedAfterMs: Milliseconds = 1500;

export type SharedLoadsOptions = {
	/** Age beyond which a host's loads are ignored now; it depends on how often hosts send. */
	toMaxAgeMs?: (now: Milliseconds) => Milliseconds;
};

/** The loads that a host reports in a message. */
export type ToldLoads = Omit<LoadMessage, 'crashes'>;

type Told = Pick<LoadMessage, 'incarnation' | 'sequence'> & {at: Milliseconds; loads: ReadonlyMap<ServerId, HostLoad>};

export type SharedLoads = {
	/** Records a host's message; a message older than the host's latest one is dropped. */
	note: (message: ToldLoads, now: Milliseconds) => void;
	/** Records that a host of the zone was heard, by a message that has no loads. */
	noteZone: (zone: ZoneId, now: Milliseconds) => void;
	/** Sums the load of a server over the other hosts. */
	read: (server: ServerId, now: Milliseconds) => Omit<HostLoad, 'server'>;
	/** Whether hosts of the zone sent messages before, and none has within the maximum age. */
	isZoneSilent: (zone: ZoneId, now: Milliseconds) => boolean;
	/** Whether hosts of other zones sent messages before, and none of any other zone has within a second and a half. */
	isIsolated: (ownZone: ZoneId, now: Milliseconds) => boolean;
};

const isOlder = (message: ToldLoads, told: Told): boolean =>
	message.incarnation < told.incarnation || (message.incarnation === told.incarnation && message.sequence <= told.sequence);

/**
 * Creates the shared loads of a host that has received no message yet.
 *
 * @param options - How long a host's loads count.
 * @returns Functions that record messages and return sums; `now` is monotonic milliseconds.
 *
 * @example
 * ```ts
 * const shared = createSharedLoads();
 * shared.note({host: 'b', zone: 'z', incarnation: 1, sequence: 1, loads: [{server: 's', requests: 2, promptTokens: 900}], peers: [], isAsking: false}, 0);
 * shared.read('s', 10); // => {requests: 2, promptTokens: 900}
 * ```
 */
export function createSharedLoads({toMaxAgeMs = () => defaultMaxAgeMs}: SharedLoadsOptions = {}): SharedLoads {
	const hosts = new Map<HostId, Told>();
	const zoneHeardAt = new Map<ZoneId, Milliseconds>();
	return {
		note(message, now) {
			zoneHeardAt.set(message.zone, now);
			const told = hosts.get(message.host);
			// A host whose clock was set back restarts with a lower incarnation. Its messages are accepted once its former incarnation's loads have expired.
			if (told !== undefined && now - told.at <= toMaxAgeMs(now) && isOlder(message, told)) {
				return;
			}

			const {incarnation, sequence, loads} = message;
			hosts.set(message.host, {
				incarnation, sequence, at: now, loads: new Map(loads.map(load => [load.server, load])),
			});
		},
		read(server, now) {
			let requests = 0;
			let promptTokens = 0;
			const maxAgeMs = toMaxAgeMs(now);
			for (const [host, {at, loads}] of hosts) {
				if (now - at > maxAgeMs) {
					hosts.delete(host);
					continue;
				}

				const load = loads.get(server);
				requests += load?.requests ?? 0;
				promptTokens += load?.promptTokens ?? 0;
			}

			return {requests, promptTokens};
		},
		noteZone(zone, now) {
			zoneHeardAt.set(zone, now);
		},
		isZoneSilent(zone, now) {
			const heardAt = zoneHeardAt.get(zone);
			return heardAt !== undefined && now - heardAt > toMaxAgeMs(now);
		},
		isIsolated(ownZone, now) {
			const others = [...zoneHeardAt].filter(([zone]) => zone !== ownZone);
			return others.length > 0 && others.every(([, heardAt]) => now - heardAt > isolatedAfterMs);
		},
	};
}
