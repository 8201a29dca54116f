import {type AcceptedConfig, type ServerEntry} from '../../../ports/config.js';
import {type ZoneId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';
import {type Pairs} from './create-pairs.js';

export type StandInsOptions = {
	view: FleetView;
	accepted: AcceptedConfig;
	isCopy: (entry: ServerEntry) => boolean;
	pairs: Pairs;
};

const roles = ['prefill', 'decode'] as const;

/** Zones of which the view knows hosts and none is alive: cut off, or all gone, which look the same from here. */
const toCutZones = (view: FleetView): ReadonlySet<ZoneId> => {
	const living = new Map<ZoneId, boolean>();
	for (const {zone, life} of view.hosts.values()) {
		living.set(zone, living.get(zone) === true || life === 'alive');
	}

	return new Set([...living].filter(([, isAlive]) => !isAlive).map(([zone]) => zone));
};

/**
 * Knows whether other zones can answer the callers of a zone that has no pair
 * of its own for the time of a load. Placement sends to other zones of the
 * region that are not cut off, so these count, with the slots that their
 * servers have free against those that the zone uses now.
 *
 * @param options - The view, the configuration, and what serves.
 * @returns `canStandIn`: whether they can for that pool and zone; `toNeighbours`: other zones of the region with servers of the pool.
 */
export const createStandIns = ({view, accepted, isCopy, pairs}: StandInsOptions) => {
	const cut = toCutZones(view);
	const regions = new Map(accepted.config.zones.map(({id, region}) => [id, region]));

	const sumSlots = (pool: string, zones: ReadonlySet<ZoneId>, role: ServerEntry['role']) => {
		const sum = {used: 0, free: 0};
		for (const entry of accepted.config.servers) {
			if (entry.pool === pool && entry.role === role && zones.has(entry.zone) && isCopy(entry)) {
				const load = view.servers.get(entry.id)!.load!;
				sum.used += load.slotsUsed;
				sum.free += Math.max(0, (load.slotsTotal === 0 ? entry.slots : load.slotsTotal) - load.slotsUsed);
			}
		}

		return sum;
	};

	const toRegion = (zone: ZoneId): string => regions.get(zone) ?? '';

	const toNeighbours = (pool: string, zone: ZoneId): ZoneId[] => [...pairs.zones(pool)].filter(other => other !== zone && toRegion(other) === toRegion(zone));

	return {
		toRegion,
		toNeighbours,
		canStandIn(pool: string, zone: ZoneId): boolean {
			const others = toNeighbours(pool, zone).filter(other => !cut.has(other) && pairs.hasZonePair(pool, other));
			const own = new Set([zone]);
			return !cut.has(zone) && others.length > 0 && roles.every(role => sumSlots(pool, new Set(others), role).free >= sumSlots(pool, own, role).used);
		},
	};
};
