import {type AcceptedConfig, type ServerEntry} from '../../../ports/config.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';

type ModelRole = 'prefill' | 'decode';

/** Number of servers in each role of a pool, or of one zone of it, by version of weights. */
type Versions = Map<string, Record<ModelRole, number>>;

export type PairsOptions = {
	view: FleetView;
	accepted: AcceptedConfig;
	/** Whether a server serves in its published role. */
	isCopy: (entry: ServerEntry) => boolean;
	/** Wanted version of each server. */
	wanted: ReadonlyMap<ServerId, string>;
};

export type Pairs = {
	/** Whether the pool has a pair now and would have none without this server. */
	isLastOfPool: (entry: ServerEntry) => boolean;
	/** The same for the server's zone. */
	isLastOfZone: (entry: ServerEntry) => boolean;
	hasZonePair: (pool: string, zone: ZoneId) => boolean;
	/** Whether the zone has a pair once all its servers have their wanted version. */
	hasWantedPair: (pool: string, zone: ZoneId) => boolean;
	/** Whether the zone cannot change weights without a gap, a time in which it has no pair: it has one server in a role, or its wanted versions form no pair. */
	needsGap: (pool: string, zone: ZoneId) => boolean;
	/** Zones that have servers of the pool. */
	zones: (pool: string) => ReadonlySet<ZoneId>;
	/** Counts the server as out of service from here on. */
	take: (entry: ServerEntry) => void;
};

const isModelRole = (role: string): role is ModelRole => role === 'prefill' || role === 'decode';

const toZoneKey = (pool: string, zone: ZoneId): string => `${pool} ${zone}`;

const add = (scopes: Map<string, Versions>, key: string, {version, role}: {version: string; role: ModelRole}, count: number): void => {
	const versions = scopes.get(key) ?? new Map<string, Record<ModelRole, number>>();
	const counts = versions.get(version) ?? {prefill: 0, decode: 0};
	versions.set(version, {...counts, [role]: counts[role] + count});
	scopes.set(key, versions);
};

const hasPair = (versions: Versions | undefined, without?: {version: string; role: ModelRole}): boolean =>
	[...versions ?? []].some(([version, {prefill, decode}]) => {
		const taken = (role: ModelRole): number => without?.version === version && without.role === role ? 1 : 0;
		return prefill > taken('prefill') && decode > taken('decode');
	});

/**
 * Tracks the pairs of a pool, and of each zone of it: a prefill and a decode server
 * with the same version of weights. A KV cache is never sent to a server with other
 * weights, so a pool whose prefill servers all have the new version and whose decode
 * servers all have the old one cannot answer any request, although each role has
 * servers that serve. The same holds for a zone that is cut off.
 *
 * @param options - See {@link PairsOptions}.
 * @returns See {@link Pairs}.
 */
export const createPairs = ({view, accepted, isCopy, wanted}: PairsOptions): Pairs => {
	const serving = new Map<string, Versions>();
	const target = new Map<string, Versions>();
	const zones = new Map<string, Set<ZoneId>>();

	const toVersion = ({id}: ServerEntry): string => view.servers.get(id)?.load?.version ?? '';

	const addServing = (entry: ServerEntry, count: number): void => {
		if (isModelRole(entry.role)) {
			add(serving, entry.pool, {version: toVersion(entry), role: entry.role}, count);
			add(serving, toZoneKey(entry.pool, entry.zone), {version: toVersion(entry), role: entry.role}, count);
		}
	};

	for (const entry of accepted.config.servers.filter(({role}) => isModelRole(role))) {
		zones.set(entry.pool, (zones.get(entry.pool) ?? new Set()).add(entry.zone));
		add(target, toZoneKey(entry.pool, entry.zone), {version: wanted.get(entry.id) ?? toVersion(entry), role: entry.role as ModelRole}, 1);
		if (isCopy(entry)) {
			addServing(entry, 1);
		}
	}

	const isLast = (key: string, entry: ServerEntry): boolean => {
		const versions = serving.get(key);
		return isModelRole(entry.role) && hasPair(versions) && !hasPair(versions, {version: toVersion(entry), role: entry.role});
	};

	const countWanted = (key: string, role: ModelRole): number => [...target.get(key)?.values() ?? []].reduce((sum, counts) => sum + counts[role], 0);

	const hasWantedPair = (pool: string, zone: ZoneId): boolean => hasPair(target.get(toZoneKey(pool, zone)));

	return {
		isLastOfPool: entry => isLast(entry.pool, entry),
		isLastOfZone: entry => isLast(toZoneKey(entry.pool, entry.zone), entry),
		hasZonePair: (pool, zone) => hasPair(serving.get(toZoneKey(pool, zone))),
		hasWantedPair,
		needsGap(pool, zone) {
			const key = toZoneKey(pool, zone);
			return !hasWantedPair(pool, zone) || countWanted(key, 'prefill') === 1 || countWanted(key, 'decode') === 1;
		},
		zones: pool => zones.get(pool) ?? new Set(),
		take(entry) {
			addServing(entry, -1);
		},
	};
};
