/**
 * What hosts tell each other of the requests that they have under way at backend
 * servers, and of those under which servers ended. Nothing is decided by it that another host must agree with: it is
 * hearsay that spreads work, and it may be lost, late, or missing altogether.
 */
import {type CrashReport} from './crash-reports.js';
import {
	type HostId, type Incarnation, type ServerId, type ZoneId,
} from './ids.js';

/** What one host has under way at one server. */
export type HostLoad = {
	server: ServerId;
	/** Requests that run there, or hold a place. */
	requests: number;
	/** Tokens of prompts that were sent there and are not computed yet. */
	promptTokens: number;
};

/** A host that has been heard lately. */
export type NamedPeer = {
	/** `IP:port`. */
	address: string;
	zone: ZoneId;
};

export type LoadMessage = {
	host: HostId;
	zone: ZoneId;
	incarnation: Incarnation;
	/** Counts the host's messages within its life; the highest is the newest. */
	sequence: number;
	/** Servers at which the host has anything; all others have nothing of it. */
	loads: readonly HostLoad[];
	/** Requests under which servers ended. */
	crashes: readonly CrashReport[];
	/** Some others that it has heard, for those that don't know them yet. */
	peers: readonly NamedPeer[];
	/** Whether it wants to hear of the receiver in turn. */
	isAsking: boolean;
};
