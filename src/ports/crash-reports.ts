/**
 * What hosts tell each other of requests under which backend servers ended. A
 * request that crashes servers may come again at any host, so what each of them
 * has seen counts together.
 */
import {type Milliseconds} from './clock.js';
import {type Fingerprint, type ServerId} from './ids.js';

/** A server that ended while the request ran there. */
export type SeenCrash = {
	/** Names the one start of the server that ended. */
	server: ServerId;
	/** Time since then, by the clock of the host that tells. */
	ageMs: Milliseconds;
};

export type CrashReport = {
	fingerprint: Fingerprint;
	/** Time since the request was last seen, by the host that tells. */
	idleMs: Milliseconds;
	crashes: readonly SeenCrash[];
};
