/**
 * Combines an agent's sources of information on the fleet into one
 * {@link FleetView}. A status that did not change stays the same object, so
 * that code that sends the view on can find changes by identity.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type AcceptedConfig} from '../../ports/config.js';
import {type LoadReport} from '../../ports/engine.js';
import {type HostId, type ServerId, type ZoneId} from '../../ports/ids.js';
import {type FleetList} from '../../ports/platform.js';
import {
	type FleetView, type HostStatus, type ServerStatus, type ZoneSummary,
} from '../../ports/view.js';

/** Minimum time by which a load report must be later than a report that the server is leaving to override it, milliseconds. */
const leavingMarginMs = 1000;

export type FleetTable = {
	setConfig: (accepted: AcceptedConfig) => void;
	/** Sets the platform's list with its revision; a revision that is not newer than the current one is ignored. Returns whether the list was accepted. */
	setFleet: (fleet: FleetList, revision: number) => boolean;
	/** Sets the hosts that membership knows; unchanged statuses must be the same objects. */
	setHosts: (hosts: ReadonlyMap<HostId, HostStatus>) => void;
	/** Sets the summaries of zones; must be the same map while they do not change. */
	setZones: (zones: ReadonlyMap<ZoneId, ZoneSummary>) => void;
	/** Records a load report, with the monotonic time at which its numbers were true. */
	noteLoad: (load: LoadReport, loadAt: Milliseconds) => void;
	/** Records that polls that began at this monotonic time did not reach the server. Ignored when a report is younger. */
	noteUnreachable: (server: ServerId, askedAt: Milliseconds) => void;
	/** Records a report by an entry or a peer that the server is leaving. Returns whether the server was not known to be leaving before. */
	noteLeaving: (server: ServerId, now: Milliseconds) => boolean;
	/** Records that the platform confirmed its values at this monotonic time. */
	noteConfirmed: (at: Milliseconds) => void;
	accepted: () => AcceptedConfig | undefined;
	fleet: () => {fleet: FleetList; revision: number} | undefined;
	/** Returns the view; its `receivedAt` is `now`. */
	view: (now: Milliseconds) => FleetView;
};

type ServerRecord = {
	load: LoadReport | undefined;
	loadAt: Milliseconds;
	reachable: boolean | undefined;
	reachableAt: Milliseconds | undefined;
	/** Time of the last report that the server is leaving; `undefined` when there was none since its last load report as serving. */
	leavingSince: Milliseconds | undefined;
};

/**
 * Creates an empty table.
 *
 * @returns See {@link FleetTable}.
 *
 * @example
 * ```ts
 * const table = createFleetTable();
 * table.setConfig(accepted);
 * table.view(now).servers.size; // => servers of the configuration
 * ```
 */
export function createFleetTable(): FleetTable {
	const records = new Map<ServerId, ServerRecord>();
	const statuses = new Map<ServerId, ServerStatus>();
	let accepted: AcceptedConfig | undefined;
	let published: {fleet: FleetList; revision: number} | undefined;
	let listedLeaving = new Set<ServerId>();
	let listedHosts = new Map<HostId, FleetList['hosts'][number]>();
	let hosts: ReadonlyMap<HostId, HostStatus> = new Map();
	let zones: ReadonlyMap<ZoneId, ZoneSummary> | undefined;
	let confirmedAt: Milliseconds | undefined;
	let serversView: ReadonlyMap<ServerId, ServerStatus> | undefined;
	let hostsView: ReadonlyMap<HostId, HostStatus> | undefined;

	/** Creates records for published servers alone, so that a peer's reports cannot exhaust the memory. */
	function addRecord(server: ServerId) {
		if (!records.has(server)) {
			records.set(server, {
				load: undefined, loadAt: 0, reachable: undefined, reachableAt: undefined, leavingSince: undefined,
			});
		}

		refresh(server);
	}

	function isLeaving(server: ServerId, {load, leavingSince}: ServerRecord): boolean {
		return listedLeaving.has(server) || load?.state === 'leaving' || leavingSince !== undefined;
	}

	function refresh(server: ServerId) {
		const record = records.get(server);
		if (!record) {
			return;
		}

		const leaving = isLeaving(server, record);
		const {load, loadAt, reachable, reachableAt} = record;
		const prev = statuses.get(server);
		if (prev?.leaving === leaving && prev.load === load && prev.loadAt === loadAt && prev.reachable === reachable && prev.reachableAt === reachableAt) {
			return;
		}

		statuses.set(server, {
			id: server, leaving, load, loadAt, reachable, reachableAt,
		});
		serversView = undefined;
	}

	function toServers(): ReadonlyMap<ServerId, ServerStatus> {
		if (!serversView) {
			const ids = accepted?.config.servers.map(({id}) => id) ?? [];
			serversView = new Map(ids.map(id => [id, statuses.get(id)!]));
		}

		return serversView;
	}

	function toHosts(): ReadonlyMap<HostId, HostStatus> {
		hostsView ??= new Map([...hosts].map(([id, status]) => {
			const leaving = status.leaving || listedHosts.get(id)?.state === 'leaving';
			return [id, leaving === status.leaving ? status : {...status, leaving}];
		}));
		return hostsView;
	}

	function forgetOthers(config: AcceptedConfig['config']) {
		const known = new Set(config.servers.map(({id}) => id));
		for (const id of statuses.keys()) {
			if (!known.has(id)) {
				records.delete(id);
				statuses.delete(id);
			}
		}
	}

	return {
		setConfig(next) {
			accepted = next;
			forgetOthers(next.config);
			serversView = undefined;
			for (const {id} of next.config.servers) {
				addRecord(id);
			}
		},
		setFleet(fleet, revision) {
			if (published && revision <= published.revision) {
				return false;
			}

			published = {fleet, revision};
			listedLeaving = new Set(fleet.servers.filter(({state}) => state === 'leaving').map(({id}) => id));
			listedHosts = new Map(fleet.hosts.map(host => [host.id, host]));
			hostsView = undefined;
			for (const id of statuses.keys()) {
				refresh(id);
			}

			return true;
		},
		setHosts(next) {
			hosts = next;
			hostsView = undefined;
		},
		setZones(next) {
			zones = next;
		},
		noteLoad(load, loadAt) {
			const record = records.get(load.server);
			if (!record) {
				return;
			}

			if (record.load && loadAt < record.loadAt) {
				return;
			}

			record.reachable = true;
			record.reachableAt = loadAt;
			record.load = load;
			record.loadAt = loadAt;
			if (load.state === 'serving' && record.leavingSince !== undefined && loadAt > record.leavingSince + leavingMarginMs) {
				record.leavingSince = undefined;
			}

			refresh(load.server);
		},
		noteUnreachable(server, askedAt) {
			const record = records.get(server);
			// A poll that hung during a partition reports its failure once the partition has healed and others have reached
			// the server. If the failure were recorded, a serving server would stay out of use until its poller's next report.
			if (!record || askedAt < (record.reachableAt ?? -Infinity)) {
				return;
			}

			record.reachable = false;
			record.reachableAt = askedAt;
			refresh(server);
		},
		noteLeaving(server, now) {
			const record = records.get(server);
			if (!record) {
				return false;
			}

			const wasLeaving = isLeaving(server, record);
			record.leavingSince = now;
			refresh(server);
			return !wasLeaving;
		},
		noteConfirmed(at) {
			confirmedAt = Math.max(at, confirmedAt ?? -Infinity);
		},
		accepted: () => accepted,
		fleet: () => published,
		view: now => ({
			accepted, hosts: toHosts(), servers: toServers(), platformConfirmedAt: confirmedAt, receivedAt: now, ...(zones && {zones}),
		}),
	};
}
