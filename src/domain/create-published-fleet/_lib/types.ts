/** What a host's knowledge of a platform takes and gives. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ZoneEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {type PublishedChange, type PublishedName, type PublishedRules} from '../../../ports/published.js';
import {type FleetView} from '../../../ports/view.js';

export type PublishedFleetOptions = {
	/** Zones with their regions, from the host's own settings. */
	zones: readonly ZoneEntry[];
	/**
	 * Time after an outage of the platform in which a server that is missing there
	 * counts as present, milliseconds. Entries lapse while the platform can't be
	 * written to, and living servers need about two seconds to come back.
	 */
	lapseGraceMs?: Milliseconds;
};

export type ReadContext = {
	/**
	 * Start of the last attempt since the read before that was made after a failure
	 * and failed too, monotonic milliseconds. A watch that breaks off is none: it
	 * tells of its connection, and not whether the platform answers.
	 */
	failedAttemptAt?: Milliseconds | undefined;
};

export type ResetLimits = {
	/** When this host must act on all that the platform says, whatever it lost. */
	latestActAt: Milliseconds;
};

export type FleetChange = {
	/** Rules that came into force with this read. */
	rules: PublishedRules | undefined;
	/** Servers that came, left, or said that they are leaving; `missing`: not published any more, and used until it is clear that they left. */
	servers: ReadonlyArray<{id: ServerId; became: 'serving' | 'leaving' | 'missing' | 'gone'}>;
	/** What can't be read, and could be before or was something else. */
	unreadable: ReadonlyArray<{what: 'rules' | 'server'; name: PublishedName; reason: string}>;
};

export type PublishedFleet = {
	/** Takes a whole list: what it does not name is gone. */
	replace: (changes: readonly PublishedChange[], now: Milliseconds, context?: ReadContext) => FleetChange;
	/** Takes what changed since the last read. */
	apply: (changes: readonly PublishedChange[], now: Milliseconds, context?: ReadContext) => FleetChange;
	/** Takes a server's own notice that it leaves. It counts whatever is published of that start, which may be late, or never come. */
	noteLeaving: (server: ServerId) => FleetChange;
	/** The platform came back from an older copy: until all that it lost is written again, what is known counts more than what it lists. */
	noteReset: (limits: ResetLimits, now: Milliseconds) => void;
	/** When everything is to be read once more, as what the platform lost has been written again; `undefined` where what it lists is not older than what is known. */
	fullReadAt: () => Milliseconds | undefined;
	/** Servers that a whole list names otherwise than they are known, or that are known and it does not name. */
	countDifferences: (changes: readonly PublishedChange[]) => number;
	/** Drops missing servers that stayed away. To be called right after a read: only that tells that they did. */
	sweep: (now: Milliseconds) => FleetChange;
	/** When missing servers are to be dropped; `undefined` while none is missing. */
	missingUntil: () => Milliseconds | undefined;
	toView: (now: Milliseconds) => FleetView;
};
