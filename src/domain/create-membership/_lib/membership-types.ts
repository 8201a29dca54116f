/** What membership offers its program. */
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type HostId, type Incarnation, type ZoneId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';
import {type HostRecord, type MemberMessage, type OutMessage} from './types.js';

export type MembershipOptions = {
	id: HostId;
	zone: ZoneId;
	/** Wall-clock milliseconds at the start of the process; raised above what peers have seen. */
	incarnation: Incarnation;
	agentAddress: string;
	/** Peer ports of agents whose hosts may be unknown. */
	seeds: readonly string[];
	/** Time between two heartbeats, milliseconds; the same on all hosts. */
	intervalMs?: Milliseconds;
	/** Time for an answer, that of the helpers included, after which a host is suspected; one interval by default. */
	probeMs?: Milliseconds;
	/** Time that a suspect has to take it back; three intervals by default. */
	suspicionMs?: Milliseconds;
	/** Monotonic milliseconds. */
	startedAt: Milliseconds;
};

/** What a host says of itself. */
export type OwnStatement = {
	entryAddress?: string;
	entryIncarnation?: Incarnation;
	/** Entries up to this incarnation have ended. */
	entryGone?: Incarnation;
	leaving?: boolean;
};

export type Membership = {
	/**
	 * Moves time on.
	 *
	 * @returns Messages to send, and how long the process was paused before this call (0 if it was not).
	 */
	tick: (now: Milliseconds, random: Random) => {messages: readonly OutMessage[]; pausedMs: Milliseconds};
	/**
	 * Takes a message of a host.
	 *
	 * @param message - The message.
	 * @param from - The host that sent it, as its connection says.
	 * @returns Messages to send.
	 */
	receive: (message: MemberMessage, from: HostId, now: Milliseconds) => readonly OutMessage[];
	/** Changes what this host says of itself; returns the messages that tell it at once. */
	state: (statement: OwnStatement, now: Milliseconds) => readonly OutMessage[];
	/** Says goodbye; returns the messages. Nothing may be sent afterwards. */
	leave: (now: Milliseconds) => readonly OutMessage[];
	/** More addresses to try while nobody is known. */
	addSeeds: (addresses: readonly string[]) => void;
	/** All known hosts, this one included. The same map until something changes. */
	hosts: (now: Milliseconds) => ReadonlyMap<HostId, HostStatus>;
	self: () => HostRecord;
	record: (id: HostId) => HostRecord | undefined;
	/** Hosts that one message must reach to be known everywhere: the zone, and bridges of the others. */
	spreadTargets: (from: HostId) => readonly HostRecord[];
	/** Highest incarnation of an earlier entry of this host that anybody has seen, and where that was. */
	entrySeen: () => {incarnation: Incarnation; address: string};
	/** Address of another live agent under this host's name, while there is one; each must be told of the other. */
	twin: (now: Milliseconds) => string | undefined;
	/** When a message of another host last came; `undefined` before the first. */
	lastHeardAt: () => Milliseconds | undefined;
};
