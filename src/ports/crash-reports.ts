/**
 * Reports between hosts of requests during which backend servers crashed. A
 * request that crashes servers may be sent again to any host, so hosts add up
 * the crashes that each of them has seen.
 */
import {type Milliseconds} from './clock.js';
import {type Fingerprint, type ServerId} from './ids.js';

/** A server that ended while it ran the request. */
export type SeenCrash = {
	/** Identifies the start of the server that ended, not the server across restarts. */
	server: ServerId;
	/** Time since the crash, by the clock of the reporting host. */
	ageMs: Milliseconds;
};

export type CrashReport = {
	fingerprint: Fingerprint;
	/** Time since the reporting host last saw the request. */
	idleMs: Milliseconds;
	crashes: readonly SeenCrash[];
	/** Time since the end of a run which cleared the request of all that was before it; absent if there was none. */
	survivedMs?: Milliseconds;
	/** Time since the end of each run since then that its server survived. */
	survivalAgesMs?: readonly Milliseconds[];
};

/** A report that is due to be sent. */
export type DueReport = CrashReport & {
	/** Largest number of crashes known of the request at once; those that a survived run has cleared count too. */
	mostCrashes: number;
};
