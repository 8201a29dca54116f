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

/** Returns the zones with known hosts of which none is alive. They may be cut off or down, which look the same to this host. */
const toCutZones = (view: FleetView): ReadonlySet<ZoneId> => {
	const living = new Map<ZoneId, boolean>();
	for (const {zone, life} of view.hosts.values()) {
		living.set(zone, living.get(zone) === true || life === 'alive');
	}

	return new Set([...living].filter(([, isAlive]) => !isAlive).map(([zone]) => zone));
};

/**
 * Determines whether other zones can serve the requests of a zone while a load leaves
 * it without a pair of its own. Placement sends to other zones of the region that
 * are not cut off, so only these count: their servers must have as many free slots
 * as the zone uses now, in each role.
 *
 * @param options - The view, the configuration, the servers that serve, and the pairs.
 * @returns `canStandIn`: whether other zones can serve the requests of that pool and zone; `toNeighbours`: other zones of the region with servers of the pool; `toRegion`: the region of a zone.
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
