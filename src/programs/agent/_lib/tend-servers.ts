/** What this host does for the servers that are its to look after: polls them, frees orphans, and gives orders. */
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {type LeavingOverrides} from '../../../domain/create-leaving-overrides/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {
	type HostId, type Incarnation, type Owner, type ServerId,
} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';
import {type AgentOptions} from './agent-types.js';
import {createPolled} from './create-polled.js';
import {giveOrders} from './give-orders.js';
import {judgeLeavers} from './judge-leavers.js';
import {type Pauses} from './mind-pauses.js';
import {pollLoads} from './poll-loads.js';
import {releaseOrphans, type OrphanTask} from './release-orphans.js';
import {type LoadsTask} from './spread-loads.js';
import {watchHeld, type HeldOrders} from './watch-held.js';

export type TendServersOptions = Pick<AgentOptions, 'settings' | 'toEngine' | 'log' | 'random'> & {
	table: FleetTable;
	hosts: () => ReadonlyMap<HostId, HostStatus>;
	loads: LoadsTask;
	hold: LeavingOverrides;
	/** Of this process. */
	incarnation: Incarnation;
	pauses: Pauses;
	/** Whether the owner's entry still answers at its peer port. */
	isAnswering: (owner: Owner, address: string) => Promise<boolean>;
	/** Whether a newer configuration than the one in force here is known to exist. */
	isBehind: () => boolean;
	counts: {orphansReleased: number; ordersGiven: number};
	now: () => Milliseconds;
	signal: AbortSignal;
};

export type TendTask = OrphanTask & {
	/** Orders that wait, and for what. */
	heldOrders: () => HeldOrders;
};

/**
 * Starts the tasks.
 *
 * @param options - See {@link TendServersOptions}.
 * @returns See {@link TendTask}.
 */
export function tendServers(options: TendServersOptions): TendTask {
	const {
		settings, table, hosts, toEngine, loads, hold, pauses, log, counts, now, random, signal,
	} = options;
	const {hostId} = settings;
	const servers = createPolled({table, hosts, hostId});
	const common = {
		servers, toEngine, mayAct: pauses.mayAct, log, now, random, signal,
	};
	const orphans = releaseOrphans({
		...common,
		hosts,
		isAnswering: options.isAnswering,
		onReleased(count) {
			counts.orphansReleased += count;
		},
	});
	const leavers = judgeLeavers({
		table,
		hold,
		servers,
		toEngine,
		owner: {host: hostId, incarnation: options.incarnation},
		mayAct: pauses.mayAct,
		log,
		now,
	});
	const polls = pollLoads({
		...common,
		intervalMs: settings.loadPollInterval,
		onLoad(load, askedAt) {
			const loadAt = pauses.toSoundTime(askedAt) - load.ageMs;
			const judged = leavers.judge(load);
			loads.spread.notePolled(judged, loadAt);
			if (load.state === 'leaving') {
				loads.noteLeaving([load.server], hostId);
			}

			table.noteLoad(judged, loadAt);
			void leavers.probe(load);
		},
		onUnreachable(server, askedAt) {
			const soundAt = pauses.toSoundTime(askedAt);
			hold.noteUnreachable(server, now());
			loads.spread.noteUnreachable(server, soundAt);
			table.noteUnreachable(server, soundAt);
		},
		onEnd(server: ServerId) {
			hold.forget(server);
			loads.spread.forget(server);
		},
	});
	const held = watchHeld(log);
	const orders = giveOrders({
		...common,
		isBehind: options.isBehind,
		onHeld(notices) {
			held.note(notices, now());
		},
		view: () => table.view(now()),
		onGiven() {
			counts.ordersGiven += 1;
		},
	});

	return {
		noteHosts: orphans.noteHosts,
		heldOrders: () => held.list(now()),
		done: (async () => {
			await Promise.all([orphans.done, polls, orders]);
		})(),
	};
}
