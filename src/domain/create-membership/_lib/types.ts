/** Records and messages that agents exchange about hosts. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type HostId, type Incarnation, type ZoneId} from '../../../ports/ids.js';
import {type HostLife} from '../../../ports/view.js';

/**
 * The record of one host. Only the host itself raises its `incarnation` (at each
 * start, and to refute its death) and its `revision` (for each change of its
 * record within one incarnation); other hosts change its `life` alone.
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
	/** Whether the host drains: it finishes its requests and accepts no new ones. */
	leaving: boolean;
	/** Hosts that probed this host and got no answer; empty unless it is suspect. */
	witnesses: readonly HostId[];
};

/** Time since a zone was last heard from, milliseconds. */
export type ZoneContacts = Readonly<Record<ZoneId, Milliseconds>>;

/** Header of each message: the sender's incarnation, revision and table hash, and records to gossip. */
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
	/** Hash of each zone's records, to find the zones in which two tables differ. */
	| {kind: 'zones'; zones: Readonly<Record<ZoneId, number>>}
	/** Hash of each record of the zones that differ. */
	| {kind: 'stamps'; stamps: Readonly<Record<HostId, number>>}
	/** The records that differ (in `updates`), and the hosts whose records the sender requests. */
	| {kind: 'records'; wanted: readonly HostId[]};

export type MessageBody =
	/** Asks the receiver for an `ack`. */
	| {kind: 'ping'; seq: number}
	/** Answers a `ping`; `seq` is that of the ping. */
	| {kind: 'ack'; seq: number}
	/** Asks the receiver to ping the target on behalf of the sender. */
	| {kind: 'ping-request'; seq: number; target: HostId}
	/** Reports that the target answered the relayed ping; `seq` is that of the request. */
	| {kind: 'ping-reply'; seq: number; target: HostId}
	/** Carries updates that must not wait for the next heartbeat. */
	| {kind: 'news'}
	| SyncBody;

export type MemberMessage = MessageHeader & MessageBody;

/** A message and where it goes: to a host, or to an address whose host is not known yet. */
export type OutMessage = {
	to: HostId | undefined;
	address: string;
	message: MemberMessage;
};
