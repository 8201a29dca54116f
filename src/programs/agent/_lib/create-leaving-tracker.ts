/** Corrects the load reports of servers that refused work with `leaving`, and probes whether they accept work again. */
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {type LeavingOverrides} from '../../../domain/create-leaving-overrides/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type LoadReport} from '../../../ports/engine.js';
import {type Owner} from '../../../ports/ids.js';
import {type AgentOptions} from './agent-types.js';
import {probeLeavingServer} from './probe-leaving-server.js';

export type LeavingTrackerOptions = Pick<AgentOptions, 'toEngine' | 'log'> & {
	table: FleetTable;
	leavingOverrides: LeavingOverrides;
	/** Servers that this host polls. */
	servers: () => readonly ServerEntry[];
	/** Owner of the reservations that probes make. */
	owner: Owner;
	/** Whether this process may act on what it knows. */
	mayAct: () => boolean;
	now: () => Milliseconds;
};

export type LeavingTracker = {
	/** Returns the report with the effective state of the server, which may differ from the reported one. */
	toEffectiveReport: (load: LoadReport) => LoadReport;
	/** Probes whether the server of the report accepts work again, if a probe is due. */
	probeIfDue: (load: LoadReport) => Promise<void>;
};

/**
 * Creates the tracker.
 *
 * @param options - See {@link LeavingTrackerOptions}.
 * @returns See {@link LeavingTracker}.
 */
export function createLeavingTracker({table, leavingOverrides, servers, toEngine, owner, mayAct, log, now}: LeavingTrackerOptions): LeavingTracker {
	let probes = 0;

	return {
		toEffectiveReport(load) {
			const before = table.view(now()).servers.get(load.server);
			const isListedLeaving = () => table.fleet()?.fleet.servers.some(({id, state}) => id === load.server && state === 'leaving') === true;
			return leavingOverrides.toEffectiveReport(load, now(), {wasLeaving: before?.leaving === true, previousState: before?.load?.state, isListedLeaving});
		},
		async probeIfDue(load) {
			const server = servers().find(({id}) => id === load.server);
			if (server === undefined || !mayAct() || !leavingOverrides.takeProbe(server.id, now())) {
				return;
			}

			probes += 1;
			const isAccepted = await probeLeavingServer(server, {
				engine: toEngine(server), load, owner, count: probes,
			});
			leavingOverrides.noteProbeResult(server.id, isAccepted, now());
			const reason = isAccepted ? 'the server accepted work and is used again' : 'the server refused work; the next probe follows after twice the delay';
			log.info('probed a server that was reported as leaving', {server: server.id, reason});
		},
	};
}
