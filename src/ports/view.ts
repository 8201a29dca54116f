/**
 * What an entry knows of the fleet. The agent builds it from the platform, its
 * peers and the engines, and pushes it to the entry over the peer protocol; the
 * entry decides with the last one it got, weighs its age, and never waits for it.
 */
import {type AcceptedConfig} from './config.js';
import {type Milliseconds} from './clock.js';
import {type LoadReport} from './engine.js';
import {
	type HostId, type Incarnation, type ServerId, type ZoneId,
} from './ids.js';

/** Life of a host as its peers see it. `suspect` may still serve; `dead` is final for that incarnation. */
export type HostLife = 'alive' | 'suspect' | 'dead' | 'left';

export type HostStatus = {
	id: HostId;
	zone: ZoneId;
	life: HostLife;
	incarnation: Incarnation;
	/** `IP:port` on which the host's entry takes calls of peers; empty while unknown. */
	entryAddress: string;
	/** Incarnation of the host's entry, which owns holds on engines; 0 or absent while unknown. */
	entryIncarnation?: Incarnation;
	/** Entries of the host up to this incarnation have ended; 0 or absent while none is known to have. */
	entryGone?: Incarnation;
	/** `IP:port` on which the host's agent takes calls of peers. */
	agentAddress: string;
	/** The platform lists it as leaving, or it said so itself. */
	leaving: boolean;
};

/** What is known of a backend server beside its published entry. */
export type ServerStatus = {
	id: ServerId;
	/** The platform lists it as leaving, or it said so itself, or a peer learnt it. */
	leaving: boolean;
	/** Last load report, absent until the first one. */
	load: LoadReport | undefined;
	/** Monotonic time of this process at which the numbers of `load` were true, lag and relay included. */
	loadAt: Milliseconds;
	/** Whether the last poll reached it; `undefined` before the first. */
	reachable: boolean | undefined;
	/** Monotonic time of this process to which `reachable` goes back; absent while nothing is known. */
	reachableAt?: Milliseconds | undefined;
};

/** What a zone's servers of one pool and role have left, taken together. */
export type SummaryRow = {
	pool: string;
	role: 'prefill' | 'decode';
	/** Servers in service; at most 255. */
	servers: number;
	/** Requests that they could take at once, rounded down. */
	free: number;
	/** Mean time that a new prompt waits there, milliseconds, rounded up; 0 for decode servers. */
	waitMs: Milliseconds;
};

/** What a host of a zone said of the zone's servers as a whole. */
export type ZoneSummary = {
	zone: ZoneId;
	/** Monotonic time of this process at which it was true. */
	at: Milliseconds;
	rows: readonly SummaryRow[];
};

export type FleetView = {
	/** `undefined` until a configuration has been accepted. */
	accepted: AcceptedConfig | undefined;
	hosts: ReadonlyMap<HostId, HostStatus>;
	servers: ReadonlyMap<ServerId, ServerStatus>;
	/** Summaries of other zones; absent in a small fleet, where the loads of all servers are known. */
	zones?: ReadonlyMap<ZoneId, ZoneSummary>;
	/** Monotonic time at which the platform last confirmed its values, relayed by peers or read directly; `undefined` if never. */
	platformConfirmedAt: Milliseconds | undefined;
	/** Monotonic time at which the agent last sent anything. */
	receivedAt: Milliseconds;
};
