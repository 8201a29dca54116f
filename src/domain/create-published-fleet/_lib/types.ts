/** Options, inputs and results of the published fleet. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ZoneEntry} from '../../../ports/config.js';
import {type ServerId, type SoftwareVersion} from '../../../ports/ids.js';
import {
	type PublishedChange, type PublishedName, type PublishedRules, type PublishedServer,
} from '../../../ports/published.js';
import {type FleetView} from '../../../ports/view.js';

export type PublishedFleetOptions = {
	/** Zones with their regions, from the host's own settings. */
	zones: readonly ZoneEntry[];
	/**
	 * Grace period after an outage of the platform in which a server whose entry is
	 * missing counts as present, milliseconds. Entries expire while the platform can't
	 * be written to, and live servers need about two seconds to write them again.
	 */
	lapseGraceMs?: Milliseconds;
	/** Called with an entry that is not applied, as the server had written a newer one that arrived before. */
	onKeptBack?: (server: PublishedServer) => void;
};

export type ReadContext = {
	/**
	 * Start of the last read attempt since the previous successful read that followed
	 * a failure and failed too, monotonic milliseconds. A watch that breaks off does
	 * not count: its connection broke, which does not show that the platform is down.
	 */
	failedAttemptAt?: Milliseconds | undefined;
};

export type ResetLimits = {
	/** Time from which this host must act on the platform's data as listed, whatever the platform lost; monotonic milliseconds. */
	latestActAt: Milliseconds;
};

export type FleetChange = {
	/** Rules that came into force with this read. */
	rules: PublishedRules | undefined;
	/** Servers that joined, left, or announced that they leave; `missing`: no longer published, and used until the grace period ends. */
	servers: ReadonlyArray<{id: ServerId; softwareVersion?: SoftwareVersion; became: 'serving' | 'leaving' | 'missing' | 'gone'}>;
	/** Entries that became unreadable, or are unreadable for another reason than before. */
	unreadable: ReadonlyArray<{what: 'rules' | 'server'; name: PublishedName; reason: string}>;
};

export type PublishedFleet = {
	/** Applies a full list: servers that it does not contain are gone. */
	replace: (changes: readonly PublishedChange[], now: Milliseconds, context?: ReadContext) => FleetChange;
	/** Applies the changes since the last read. */
	apply: (changes: readonly PublishedChange[], now: Milliseconds, context?: ReadContext) => FleetChange;
	/** Records a server's own notice that it leaves. The notice overrides the published entry of that start, which may be updated late or never. */
	noteLeaving: (server: ServerId) => FleetChange;
	/** Records that the platform was restored from an older copy: until servers have written their entries again, the known state takes precedence over the listed one. */
	noteReset: (limits: ResetLimits, now: Milliseconds) => void;
	/** When a full read is due, as servers have written their entries again by then; `undefined` when the platform was not restored from a copy. */
	fullReadAt: () => Milliseconds | undefined;
	/** Counts the servers that differ between a full list and the known state: changed, added or absent. */
	countDifferences: (changes: readonly PublishedChange[]) => number;
	/** Drops servers that are still missing after the grace period. To be called right after a read, which alone shows that they are. */
	sweep: (now: Milliseconds) => FleetChange;
	/** When missing servers are due to be dropped; `undefined` while none is missing. */
	missingUntil: () => Milliseconds | undefined;
	toView: (now: Milliseconds) => FleetView;
};
