/** Sends load reports, reachability reports and leaving servers between agents. */
import {isRecord} from '../../../_lib/is-record/index.js';
import {createLoadBroadcast, decodeLoads, type LoadBroadcast} from '../../../domain/create-load-broadcast/index.js';
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {type LeavingOverrides} from '../../../domain/create-leaving-overrides/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type LoadReport} from '../../../ports/engine.js';
import {type HostId, type ServerId} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';
import {createServerIndex} from './create-server-index.js';
import {isSmallFleet} from './is-small-fleet.js';
import {peerCalls, peerEvents} from './peer-messages.js';

const callTimeoutMs = 2000;

export type SpreadLoadsOptions = {
	table: FleetTable;
	leavingOverrides: LeavingOverrides;
	self: () => {id: HostId; zone: string};
	hosts: () => ReadonlyMap<HostId, HostStatus>;
	send: (host: HostStatus, name: string, body: unknown) => void;
	call: (host: HostId, method: string, body: unknown, options: {timeoutMs: Milliseconds}) => Promise<{isOk: () => boolean; unwrapOr: (value: unknown) => unknown}>;
	/** Hosts to notify at once of something that came from a host. */
	spreadTargets: (origin: HostId) => readonly HostStatus[];
	now: () => Milliseconds;
	/** Earliest time at which the message being handled may have arrived, monotonic milliseconds. */
	toArrival: () => Milliseconds;
	/** Number of other live hosts at which the fleet is large. */
	smallFleet?: number;
};

export type LoadsTask = {
	spread: LoadBroadcast;
	/** Sends the reports that are due. */
	tick: () => void;
	/** Records that servers are leaving, and forwards those of which the table did not know it. */
	noteLeaving: (servers: readonly ServerId[], origin: HostId) => void;
	/** Handles an event of a peer; returns whether the event was of this kind. */
	handleEvent: (from: HostId, name: string, body: unknown) => boolean;
	/** Answers a peer's call for load reports. */
	serveReports: (body: unknown) => LoadReport[];
};

/** Extracts the ids of servers from a peer's message; ignores everything else in it. */
function toNames(body: unknown): string[] {
	return isRecord(body) && Array.isArray(body.servers) ? body.servers.filter(server => typeof server === 'string') : [];
}

/**
 * Creates the task.
 *
 * @param options - See {@link SpreadLoadsOptions}.
 * @returns See {@link LoadsTask}.
 */
export function spreadLoads({table, leavingOverrides, self, hosts, send, call, spreadTargets, now, toArrival, smallFleet}: SpreadLoadsOptions): LoadsTask {
	const spread = createLoadBroadcast();
	const pendingRequests = new Set<HostId>();
	const names = createServerIndex(table);

	function findLoad(server: ServerId): LoadReport | undefined {
		return table.view(now()).servers.get(server)?.load;
	}

	/**
	 * Whether to believe a host's report that a server is unreachable. The host
	 * must be in the server's zone or in this host's zone, unless the server's zone
	 * has no live host.
	 *
	 * During a network partition, hosts on each side fail to poll the servers of
	 * the other side. When the partition heals, their reports reach the other side,
	 * whose entries would refuse all requests although the servers were reachable
	 * there all the time. A host of the server's zone polls the server locally, and
	 * a host of this zone over the same network path as this host, so their reports
	 * apply here. Where neither can report, any report is better than none.
	 */
	function isReportTrusted(from: HostId, server: ServerId): boolean {
		const known = hosts();
		const zone = known.get(from)?.zone;
		const serverZone = names.toZone(server);
		return zone === self().zone || zone === serverZone || ![...known.values()].some(host => host.zone === serverZone && host.life === 'alive');
	}

	function toReceivers(): HostStatus[] {
		const {id: ownId, zone: ownZone} = self();
		const alive = [...hosts().values()].filter(({id, life}) => id !== ownId && life === 'alive');
		return isSmallFleet(ownId, hosts(), smallFleet) ? alive : alive.filter(({zone}) => zone === ownZone);
	}

	function noteLeaving(servers: readonly ServerId[], origin: HostId) {
		const published = servers.filter(server => table.view(now()).servers.has(server));
		for (const server of published) {
			leavingOverrides.noteRefusal(server, now());
		}

		const news = published.filter(server => table.noteLeaving(server, now()));
		if (news.length > 0) {
			for (const host of spreadTargets(origin)) {
				send(host, peerEvents.leaving, {servers: news});
			}
		}
	}

	async function requestReports(from: HostId, wanted: readonly number[]) {
		if (pendingRequests.has(from)) {
			return;
		}

		pendingRequests.add(from);
		const reply = await call(from, peerCalls.reports, {servers: wanted}, {timeoutMs: callTimeoutMs});
		pendingRequests.delete(from);
		const reports = reply.unwrapOr(undefined);
		for (const load of Array.isArray(reports) ? reports as LoadReport[] : []) {
			if (isRecord(load) && typeof load.server === 'string' && typeof load.ageMs === 'number' && Array.isArray(load.adapters)) {
				table.noteLoad(load, toArrival() - load.ageMs);
			}
		}
	}

	function handleLoads(from: HostId, body: unknown) {
		const {loads, unreachable, wanted} = decodeLoads(body instanceof Uint8Array ? body : new Uint8Array(), names.findByHash, findLoad);
		for (const load of loads) {
			table.noteLoad(load, toArrival() - load.ageMs);
		}

		for (const {server, ageMs} of unreachable) {
			if (isReportTrusted(from, server)) {
				table.noteUnreachable(server, toArrival() - ageMs);
			}
		}

		if (wanted.length > 0) {
			void requestReports(from, wanted);
		}
	}

	return {
		spread,
		tick() {
			const to = toReceivers();
			const bytes = spread.takeDue(to.length, now());
			for (const host of bytes ? to : []) {
				send(host, peerEvents.loads, bytes);
			}
		},
		noteLeaving,
		handleEvent(from, name, body) {
			if (name === peerEvents.loads) {
				handleLoads(from, body);
			} else if (name === peerEvents.leaving) {
				noteLeaving(toNames(body), from);
			}

			return name === peerEvents.loads || name === peerEvents.leaving;
		},
		serveReports(body) {
			const wanted = isRecord(body) && Array.isArray(body.servers) ? body.servers.filter(server => typeof server === 'number') : [];
			return spread.reports(wanted, now());
		},
	};
}
