/** What agents tell each other about hosts. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId, type Incarnation, type ZoneId} from '../../../ports/ids.js';
import {type HostLife} from '../../../ports/view.js';

/**
 * What is known of one host. A host alone raises its `incarnation` (at each
 * start, and to take back a death) and its `revision` (for each statement
 * about itself within one incarnation); others change its `life` alone.
 */
export type HostRecord = {
	id: HostId;
	zone: ZoneId;
	incarnation: Incarnation;
	revision: number;
	life: HostLife;
	agentAddress: string;
	/** Empty while unknown. */
	entryAddress: string;
	/** Incarnation of the host's entry; 0 while its agent does not know. */
	entryIncarnation: Incarnation;
	/** Entries of the host up to this incarnation have ended, as its own agent has seen. */
	entryGone: Incarnation;
	/** The host drains: it finishes what it has and takes nothing new. */
	leaving: boolean;
	/** Hosts that probed it themselves and got no answer; empty unless suspect. */
	witnesses: readonly HostId[];
};

/** Time since a zone was last heard from, milliseconds. */
export type ZoneContacts = Readonly<Record<ZoneId, Milliseconds>>;

/** In each message: who the sender is now and what its table hashes to. */
type MessageHeader = {
	incarnation: Incarnation;
	revision: number;
	digest: number;
	updates: readonly HostRecord[];
	/** In pings within a zone. */
	contacts?: ZoneContacts;
};

/** Comparison of two tables, step by step. */
export type SyncBody =
	/** Hash of each zone's records, for finding out where two tables differ. */
	| {kind: 'zones'; zones: Readonly<Record<ZoneId, number>>}
	/** Hash of each record of the zones that differ. */
	| {kind: 'stamps'; stamps: Readonly<Record<HostId, number>>}
	/** The records that differ (in `updates`), and those that the sender would like to have. */
	| {kind: 'records'; wanted: readonly HostId[]};

export type MessageBody =
	/** Are you there? */
	| {kind: 'ping'; seq: number}
	/** I am. */
	| {kind: 'ack'; seq: number}
	/** Please ping the target for me. */
	| {kind: 'ping-request'; seq: number; target: HostId}
	/** The target answered my ping; `seq` is that of the request. */
	| {kind: 'ping-reply'; seq: number; target: HostId}
	/** Something that must not wait for the next heartbeat. */
	| {kind: 'news'}
	| SyncBody;

export type MemberMessage = MessageHeader & MessageBody;

/** A message and where it goes: to a host, or to an address whose host is not known yet. */
export type OutMessage = {
	to: HostId | undefined;
	address: string;
	message: MemberMessage;
};
