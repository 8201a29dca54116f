/** How hosts tell each other which of them gives orders to backend servers. */
import {type Milliseconds} from './clock.js';

/** A host's claim that it alone gives orders, passed on by the hosts that heard it. */
export type OrderClaim = {
	/** `IP:port` of the host for its peers. */
	address: string;
	/** Wall-clock time at which the host was named in its settings; the newest claim holds. */
	sinceMs: number;
	/** Time since the host itself told the claim. */
	ageMs: Milliseconds;
};
