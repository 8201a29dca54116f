import {type Milliseconds} from '../../../ports/clock.js';
import {type AcceptedConfig, type ServerEntry} from '../../../ports/config.js';
import {type ServerId} from '../../../ports/ids.js';
import {type FleetView, type ServerStatus} from '../../../ports/view.js';
import {toGroup} from '../../to-orders/index.js';

export type GroupState = {
	size: number;
	/** Servers that serve the pool's model in the published role, by fresh reports. */
	copies: ReadonlySet<ServerId>;
};

const isServing = (entry: ServerEntry, model: string | undefined, status: ServerStatus | undefined, oldestAt: Milliseconds): boolean =>
	status?.load !== undefined
	&& status.loadAt >= oldestAt
	&& status.reachable !== false
	&& !status.leaving
	&& status.load.state === 'serving'
	&& status.load.role === entry.role
	&& status.load.model === model;

/**
 * Counts the servers of each pool and role, and which of them serve.
 *
 * @param view - Reports of servers.
 * @param accepted - The configuration in force.
 * @param oldestAt - Monotonic time before which reports are stale, and ignored.
 * @returns State by group, see `toGroup`.
 */
export const toGroups = (view: FleetView, accepted: AcceptedConfig, oldestAt: Milliseconds): ReadonlyMap<string, GroupState> => {
	const models = new Map(accepted.config.pools.map(pool => [pool.name, pool.model]));
	const groups = new Map<string, {size: number; copies: Set<ServerId>}>();
	for (const entry of accepted.config.servers) {
		const group = groups.get(toGroup(entry)) ?? {size: 0, copies: new Set<ServerId>()};
		group.size++;
		if (isServing(entry, models.get(entry.pool), view.servers.get(entry.id), oldestAt)) {
			group.copies.add(entry.id);
		}

		groups.set(toGroup(entry), group);
	}

	return groups;
};
