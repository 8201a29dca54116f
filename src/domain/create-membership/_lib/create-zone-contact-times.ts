/** Keeps when each zone was last heard from, by this host or by another host of its zone. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ZoneId} from '../../../ports/ids.js';
import {type ZoneContacts} from './types.js';

const maxZones = 256;
const unitMs = 100;

export type ZoneContactTimes = {
	note: (zone: ZoneId, now: Milliseconds) => void;
	/** Merges the ages that a host of the same zone sent. */
	merge: (ages: ZoneContacts, now: Milliseconds) => void;
	/** Ages for a message, rounded up. */
	ages: (now: Milliseconds) => ZoneContacts;
	staleZones: (zones: readonly ZoneId[], now: Milliseconds, timeoutMs: Milliseconds) => ZoneId[];
	/** Restarts the timeout of every zone: after a pause of this process the silence is its own. */
	restart: (now: Milliseconds) => void;
};

/**
 * Creates an empty table. A zone is not stale before it was heard from once.
 *
 * @returns See {@link ZoneContactTimes}.
 */
export function createZoneContactTimes(): ZoneContactTimes {
	const heardAt = new Map<ZoneId, Milliseconds>();

	function note(zone: ZoneId, at: Milliseconds) {
		if (heardAt.size < maxZones || heardAt.has(zone)) {
			heardAt.set(zone, Math.max(at, heardAt.get(zone) ?? -Infinity));
		}
	}

	return {
		note,
		merge(ages, now) {
			for (const [zone, age] of Object.entries(ages)) {
				note(zone, now - age);
			}
		},
		ages: now => Object.fromEntries([...heardAt].map(([zone, at]) => [zone, Math.ceil((now - at) / unitMs) * unitMs])),
		staleZones: (zones, now, timeoutMs) => zones.filter(zone => now - (heardAt.get(zone) ?? now) > timeoutMs),
		restart(now) {
			for (const zone of heardAt.keys()) {
				heardAt.set(zone, now);
			}
		},
	};
}
