/** Options and functions of membership. */
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type HostId, type Incarnation, type ZoneId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';
import {type HostRecord, type MemberMessage, type OutMessage} from './types.js';

export type MembershipOptions = {
	id: HostId;
	zone: ZoneId;
	/** Wall-clock milliseconds at the start of the process; raised above the incarnations that peers have seen. */
	incarnation: Incarnation;
	agentAddress: string;
	/** Peer ports of agents whose hosts may be unknown. */
	seeds: readonly string[];
	/** Time between two heartbeats, milliseconds; the same on all hosts. */
	intervalMs?: Milliseconds;
	/** Probe timeout, indirect pings included, after which a host is suspected; one interval by default. */
	probeMs?: Milliseconds;
	/** Suspicion timeout, in which a suspect can refute the suspicion; three intervals by default. */
	suspicionMs?: Milliseconds;
	/** Monotonic milliseconds. */
	startedAt: Milliseconds;
};

/** Fields of its own record that a host sets. */
export type OwnStatement = {
	entryAddress?: string;
	entryIncarnation?: Incarnation;
	/** Entries up to this incarnation have ended. */
	entryGone?: Incarnation;
	leaving?: boolean;
};

export type Membership = {
	/**
	 * Runs everything that is due: probes, suspicion timeouts and contacts to seeds.
	 *
	 * @returns Messages to send, and how long the process was paused before this call (0 if it was not).
	 */
	tick: (now: Milliseconds, random: Random) => {messages: readonly OutMessage[]; pausedMs: Milliseconds};
	/**
	 * Handles a message of a host.
	 *
	 * @param message - The message.
	 * @param from - The host that sent it, as identified by its connection.
	 * @returns Messages to send.
	 */
	receive: (message: MemberMessage, from: HostId, now: Milliseconds) => readonly OutMessage[];
	/** Changes this host's own record; returns the messages that announce the change at once. */
	state: (statement: OwnStatement, now: Milliseconds) => readonly OutMessage[];
	/** Announces that this host leaves; returns the messages. No message may be sent afterwards. */
	leave: (now: Milliseconds) => readonly OutMessage[];
	/** Adds addresses to try for hosts that are not known. */
	addSeeds: (addresses: readonly string[]) => void;
	/** All known hosts, this one included. The same map until something changes. */
	hosts: (now: Milliseconds) => ReadonlyMap<HostId, HostStatus>;
	self: () => HostRecord;
	record: (id: HostId) => HostRecord | undefined;
	/** Hosts to send an update to so that it reaches every host: those of the zone, and the bridges of other zones. */
	spreadTargets: (from: HostId) => readonly HostRecord[];
	/** Highest incarnation of an earlier entry of this host that any peer has seen, and its address. */
	entrySeen: () => {incarnation: Incarnation; address: string};
	/** Address of another live agent that uses this host's name; `undefined` while there is none. */
	twin: (now: Milliseconds) => string | undefined;
	/** When a message of another host last came; `undefined` before the first. */
	lastHeardAt: () => Milliseconds | undefined;
};
