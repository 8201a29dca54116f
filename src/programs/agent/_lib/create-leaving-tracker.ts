/** What a server's load report is worth after the server refused work as leaving. */
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
	hold: LeavingOverrides;
	/** Servers that this host looks after now. */
	servers: () => readonly ServerEntry[];
	/** In whose name a probe reserves. */
	owner: Owner;
	/** Whether this process may act on what it knows. */
	mayAct: () => boolean;
	now: () => Milliseconds;
};

export type LeavingTracker = {
	/** The report, with the state that is believed of the server. */
	toEffectiveReport: (load: LoadReport) => LoadReport;
	/** Asks the server that reported whether it accepts work again, if it is time to. */
	probeIfDue: (load: LoadReport) => Promise<void>;
};

/**
 * @param options - See {@link LeavingTrackerOptions}.
 * @returns See {@link LeavingTracker}.
 */
export function createLeavingTracker({table, hold, servers, toEngine, owner, mayAct, log, now}: LeavingTrackerOptions): LeavingTracker {
	let probes = 0;

	return {
		toEffectiveReport(load) {
			const before = table.view(now()).servers.get(load.server);
			const isListedLeaving = () => table.fleet()?.fleet.servers.some(({id, state}) => id === load.server && state === 'leaving') === true;
			return hold.toEffectiveReport(load, now(), {wasLeaving: before?.leaving === true, previousState: before?.load?.state, isListedLeaving});
		},
		async probeIfDue(load) {
			const server = servers().find(({id}) => id === load.server);
			if (server === undefined || !mayAct() || !hold.takeProbe(server.id, now())) {
				return;
			}

			probes += 1;
			const isAccepted = await probeLeavingServer(server, {
				engine: toEngine(server), load, owner, count: probes,
			});
			hold.noteProbeResult(server.id, isAccepted, now());
			const reason = isAccepted ? 'it accepts work and is used again' : 'it accepts none and is asked again later, each time after twice as long';
			log.info('asked a server that was said to be leaving', {server: server.id, reason});
		},
	};
}
