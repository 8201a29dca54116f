/** What other hosts have under way at each server, as they told last. */
import {type Milliseconds} from '../../ports/clock.js';
import {type HostId, type ServerId, type ZoneId} from '../../ports/ids.js';
import {type HostLoad, type LoadMessage} from '../../ports/shared-loads.js';

/**
 * Age beyond which a host's word counts for nothing, unless told otherwise. A living
 * host of a small fleet speaks every 500 ms, so three messages in a row must be lost;
 * what a killed host had at the servers ends with its connections.
 */
const defaultMaxAgeMs: Milliseconds = 1500;

export type SharedLoadsOptions = {
	/** Age beyond which a host's word counts for nothing now; it follows how often hosts speak. */
	toMaxAgeMs?: (now: Milliseconds) => Milliseconds;
};

/** What a host says of its loads. */
export type ToldLoads = Omit<LoadMessage, 'crashes'>;

type Told = Pick<LoadMessage, 'incarnation' | 'sequence'> & {at: Milliseconds; loads: ReadonlyMap<ServerId, HostLoad>};

export type SharedLoads = {
	/** Takes what a host says; an older message than the last of the host is dropped. */
	note: (message: ToldLoads, now: Milliseconds) => void;
	/** Sum over the other hosts. */
	read: (server: ServerId, now: Milliseconds) => Omit<HostLoad, 'server'>;
	/** Whether hosts of the zone spoke before, and none does any more. */
	isZoneSilent: (zone: ZoneId, now: Milliseconds) => boolean;
	/** Whether hosts of other zones spoke before, and none of any of them does any more. */
	isIsolated: (ownZone: ZoneId, now: Milliseconds) => boolean;
};

const isOlder = (message: ToldLoads, told: Told): boolean =>
	message.incarnation < told.incarnation || (message.incarnation === told.incarnation && message.sequence <= told.sequence);

/**
 * Creates the knowledge of a host that has heard nobody yet.
 *
 * @param options - How long a host's word counts.
 * @returns Functions that take messages and give sums; `now` is monotonic milliseconds.
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
			// A host whose time of day was set back starts with a lower incarnation; once its former life is too old to count, it is taken as it is.
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
		isZoneSilent(zone, now) {
			const heardAt = zoneHeardAt.get(zone);
			return heardAt !== undefined && now - heardAt > toMaxAgeMs(now);
		},
		isIsolated(ownZone, now) {
			const others = [...zoneHeardAt].filter(([zone]) => zone !== ownZone);
			return others.length > 0 && others.every(([, heardAt]) => now - heardAt > toMaxAgeMs(now));
		},
	};
}
