/** What a server's load report is worth after the server refused work as leaving. */
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {type LeavingOverrides} from '../../../domain/create-leaving-overrides/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type LoadReport} from '../../../ports/engine.js';
import {type Owner} from '../../../ports/ids.js';
import {type AgentOptions} from './agent-types.js';
import {probeLeaver} from './probe-leaver.js';

export type JudgeLeaversOptions = Pick<AgentOptions, 'toEngine' | 'log'> & {
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

export type LeaverJudge = {
	/** The report, with the state that is believed of the server. */
	judge: (load: LoadReport) => LoadReport;
	/** Asks the server that reported whether it accepts work again, if it is time to. */
	probe: (load: LoadReport) => Promise<void>;
};

/**
 * @param options - See {@link JudgeLeaversOptions}.
 * @returns See {@link LeaverJudge}.
 */
export function judgeLeavers({table, hold, servers, toEngine, owner, mayAct, log, now}: JudgeLeaversOptions): LeaverJudge {
	let probes = 0;

	return {
		judge(load) {
			const before = table.view(now()).servers.get(load.server);
			const isListedLeaving = () => table.fleet()?.fleet.servers.some(({id, state}) => id === load.server && state === 'leaving') === true;
			return hold.toEffectiveReport(load, now(), {wasLeaving: before?.leaving === true, previousState: before?.load?.state, isListedLeaving});
		},
		async probe(load) {
			const server = servers().find(({id}) => id === load.server);
			if (server === undefined || !mayAct() || !hold.takeProbe(server.id, now())) {
				return;
			}

			probes += 1;
			const isAccepted = await probeLeaver(server, {
				engine: toEngine(server), load, owner, count: probes,
			});
			hold.noteProbeResult(server.id, isAccepted, now());
			const reason = isAccepted ? 'it accepts work and is used again' : 'it accepts none and is asked again later, each time after twice as long';
			log.info('asked a server that was said to be leaving', {server: server.id, reason});
		},
	};
}
