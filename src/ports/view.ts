/**
 * An entry's view of the fleet. The agent builds the view from the platform, its
 * peers and the engines, and pushes it to the entry over the peer protocol. The
 * entry decides with the last view it received, takes the view's age into
 * account, and never waits for a newer one.
 */
import {type AcceptedConfig} from './config.js';
import {type Milliseconds} from './clock.js';
import {type LoadReport} from './engine.js';
import {
	type HostId, type Incarnation, type ServerId, type ZoneId,
} from './ids.js';

/** State of a host as its peers see it. A `suspect` host may still serve; `dead` is final for an incarnation. */
export type HostLife = 'alive' | 'suspect' | 'dead' | 'left';

export type HostStatus = {
	id: HostId;
	zone: ZoneId;
	life: HostLife;
	incarnation: Incarnation;
	/** `IP:port` on which the host's entry accepts calls from peers; empty while unknown. */
	entryAddress: string;
	/** Incarnation of the host's entry, which owns holds on engines; 0 or absent while unknown. */
	entryIncarnation?: Incarnation;
	/** Highest incarnation of the host's entries that is known to have ended, as have all before it; 0 or absent while none is known to have ended. */
	entryGone?: Incarnation;
	/** `IP:port` on which the host's agent accepts calls from peers. */
	agentAddress: string;
	/** Whether the platform lists the host as leaving, or the host announced that it leaves. */
	leaving: boolean;
};

/** State of a backend server, besides its published entry. */
export type ServerStatus = {
	id: ServerId;
	/** Whether the server is known to be leaving: from the platform, from the server, or from a peer. */
	leaving: boolean;
	/** Last load report, absent until the first one. */
	load: LoadReport | undefined;
	/** Monotonic time of this process at which the numbers of `load` were measured; the delays of report and relay are already subtracted. */
	loadAt: Milliseconds;
	/** Whether the last poll reached the server; `undefined` before the first poll. */
	reachable: boolean | undefined;
	/** Monotonic time of this process at which `reachable` was found; absent while it is unknown. */
	reachableAt?: Milliseconds | undefined;
};

/** Free capacity of all of a zone's servers of one pool and role. */
export type SummaryRow = {
	pool: string;
	role: 'prefill' | 'decode';
	/** Servers in service; at most 255. */
	servers: number;
	/** Requests that these servers could accept at once, rounded down. */
	free: number;
	/** Mean time that a new prompt waits at these servers, milliseconds, rounded up; 0 for decode servers. */
	waitMs: Milliseconds;
};

/** Summary of a zone's servers, made by a host of the zone. */
export type ZoneSummary = {
	zone: ZoneId;
	/** Monotonic time of this process at which the summary was made. */
	at: Milliseconds;
	rows: readonly SummaryRow[];
};

export type FleetView = {
	/** Configuration in force; `undefined` until one has been accepted. */
	accepted: AcceptedConfig | undefined;
	hosts: ReadonlyMap<HostId, HostStatus>;
	servers: ReadonlyMap<ServerId, ServerStatus>;
	/** Summaries of other zones; absent in a small fleet, where the loads of all servers are known. */
	zones?: ReadonlyMap<ZoneId, ZoneSummary>;
	/** Monotonic time at which the platform last confirmed its values, relayed by peers or read directly; `undefined` if never. */
	platformConfirmedAt: Milliseconds | undefined;
	/** Monotonic time at which the agent sent the last update that arrived. */
	receivedAt: Milliseconds;
};
