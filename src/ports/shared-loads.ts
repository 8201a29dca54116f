/**
 * Messages between hosts about the requests that they have in flight at backend
 * servers, and about requests during which servers crashed. They only help to
 * spread load: no decision on which hosts must agree depends on them, so a
 * message may be lost, late, or missing altogether.
 */
import {type CatchUpNote} from './catch-up.js';
import {type Milliseconds} from './clock.js';
import {type CrashReport} from './crash-reports.js';
import {type OrderClaim} from './order-claims.js';
import {type SharedLimit} from './request-limits.js';
import {
	type HostId, type Incarnation, type ServerId, type ZoneId,
} from './ids.js';

/** What one host has in flight at one server. */
export type HostLoad = {
	server: ServerId;
	/** Requests that run on the server or hold a reservation there. */
	requests: number;
	/** Tokens of prompts that were sent to the server and are not computed yet. */
	promptTokens: number;
};

/** A host from which a message was received recently. */
export type NamedPeer = {
	/** `IP:port`. */
	address: string;
	zone: ZoneId;
};

/** A pool by the hash of its name, and the time since a server of it last answered the host. */
export type PoolAnswer = {pool: number; ageMs: Milliseconds};

export type LoadMessage = {
	host: HostId;
	zone: ZoneId;
	incarnation: Incarnation;
	/** Number of the message within the host's incarnation; the highest is the newest. */
	sequence: number;
	/** Loads of all servers at which the host has anything in flight; it has nothing at servers that are not listed. */
	loads: readonly HostLoad[];
	/** Requests during which servers crashed. */
	crashes: readonly CrashReport[];
	/** Parts of prompts during whose requests servers crashed, each with its key in place of a fingerprint; absent from hosts that do not tell them. */
	partCrashes?: readonly CrashReport[];
	/** Some of the hosts that the sender knows, for receivers that don't know them yet. */
	peers: readonly NamedPeer[];
	/** Whether the sender asks the receiver for a message in return. */
	isAsking: boolean;
	/** Share of all hosts that the sender reaches; absent from hosts that do not tell it. */
	reachedShare?: number;
	/** Pools whose servers answered the sender lately; absent from hosts that do not tell it. */
	answers?: readonly PoolAnswer[];
	/** Limits that servers state, or state no more; absent from hosts that do not tell them. */
	limits?: readonly SharedLimit[];
	/** Asks for all that the receiver knows, or marks the message as a part of such an answer. */
	catchUp?: CatchUpNote;
	/** The newest claim to give orders that the sender knows. */
	orderClaim?: OrderClaim;
};
