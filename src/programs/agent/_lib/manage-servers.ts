/** Manages the servers that this host polls: polls their loads, releases orphans, and sends orders. */
import {type FleetTable} from '../../../domain/create-fleet-table/index.js';
import {type LeavingOverrides} from '../../../domain/create-leaving-overrides/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {
	type HostId, type Incarnation, type Owner, type ServerId,
} from '../../../ports/ids.js';
import {type HostStatus} from '../../../ports/view.js';
import {type AgentOptions} from './agent-types.js';
import {createPolledServers} from './create-polled-servers.js';
import {giveOrders} from './give-orders.js';
import {createLeavingTracker} from './create-leaving-tracker.js';
import {type PauseTracker} from './create-pause-tracker.js';
import {pollLoads} from './poll-loads.js';
import {releaseOrphans, type OrphanTask} from './release-orphans.js';
import {type LoadsTask} from './spread-loads.js';
import {watchHeldOrders, type HeldOrders} from './watch-held-orders.js';

export type ManageServersOptions = Pick<AgentOptions, 'settings' | 'toEngine' | 'log' | 'random'> & {
	table: FleetTable;
	hosts: () => ReadonlyMap<HostId, HostStatus>;
	loads: LoadsTask;
	leavingOverrides: LeavingOverrides;
	/** Incarnation of this process. */
	incarnation: Incarnation;
	pauses: PauseTracker;
	/** Whether the owner's entry still answers at its peer port. */
	isAnswering: (owner: Owner, address: string) => Promise<boolean>;
	/** Whether a newer configuration than the one in force here is known to exist. */
	isBehind: () => boolean;
	counts: {orphansReleased: number; ordersGiven: number};
	now: () => Milliseconds;
	signal: AbortSignal;
};

export type ManageServersTask = OrphanTask & {
	/** Orders that wait, each with the reason. */
	heldOrders: () => HeldOrders;
};

/**
 * Starts the tasks.
 *
 * @param options - See {@link ManageServersOptions}.
 * @returns See {@link ManageServersTask}.
 */
export function manageServers(options: ManageServersOptions): ManageServersTask {
	const {
		settings, table, hosts, toEngine, loads, leavingOverrides, pauses, log, counts, now, random, signal,
	} = options;
	const {hostId} = settings;
	const servers = createPolledServers({table, hosts, hostId});
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
	const leavingTracker = createLeavingTracker({
		table,
		leavingOverrides,
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
			const loadAt = pauses.toTrustedTime(askedAt) - load.ageMs;
			const report = leavingTracker.toEffectiveReport(load);
			loads.spread.notePolled(report, loadAt);
			if (load.state === 'leaving') {
				loads.noteLeaving([load.server], hostId);
			}

			table.noteLoad(report, loadAt);
			void leavingTracker.probeIfDue(load);
		},
		onUnreachable(server, askedAt) {
			const trustedAt = pauses.toTrustedTime(askedAt);
			leavingOverrides.noteUnreachable(server, now());
			loads.spread.noteUnreachable(server, trustedAt);
			table.noteUnreachable(server, trustedAt);
		},
		onEnd(server: ServerId) {
			leavingOverrides.forget(server);
			loads.spread.forget(server);
		},
	});
	const held = watchHeldOrders(log);
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
