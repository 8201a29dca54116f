/**
 * Derives the orders that bring servers from their reported state to the state that
 * the accepted configuration wants. The orders depend on nothing else, such as
 * earlier orders or a host's plans, so every host derives the same orders, and
 * orders are idempotent.
 */
import {createHash} from 'node:crypto';
import {
	type AcceptedConfig, type Config, type PoolEntry, type ServerEntry,
} from '../../ports/config.js';
import {type EngineOrder, type LoadReport} from '../../ports/engine.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';
import {type FleetView} from '../../ports/view.js';

export type WantedOrder = {
	server: ServerId;
	/** The server's pool and role by configuration, see `toGroup`. */
	group: string;
	order: EngineOrder;
	/** Whether the server cannot serve while it carries the order out. */
	isDisruptive: boolean;
};

/** Returns the name of a server's group: the servers of one pool and role, of which one must go on serving. */
export const toGroup = (entry: ServerEntry): string => `${entry.pool}/${entry.role}`;

/** Returns a sort key by which servers are ordered. It is the same on every host and independent of zones, so that a zone's servers do not follow one another. */
export const toRank = (server: ServerId): string => createHash('sha256').update(server).digest('hex');

/** Returns the weights of the versions into which rules split a pool; only the pool's own version when no rule does. */
const toShares = (config: Config, pool: PoolEntry): ReadonlyArray<{version: string; weight: number}> => {
	const weights = new Map<string, number>();
	for (const {then} of config.rules.filter(rule => rule.then.pool === pool.name)) {
		const total = then.versions.reduce((sum, {weight}) => sum + weight, 0);
		for (const {version, weight} of then.versions.filter(entry => entry.weight > 0)) {
			weights.set(version, (weights.get(version) ?? 0) + (weight / total));
		}

		if (total === 0 && pool.version !== undefined) {
			weights.set(pool.version, (weights.get(pool.version) ?? 0) + 1);
		}
	}

	if (weights.size === 0 && pool.version !== undefined) {
		weights.set(pool.version, 1);
	}

	return [...weights].map(([version, weight]) => ({version, weight})).toSorted((a, b) => b.weight - a.weight || (a.version < b.version ? -1 : 1));
};

/** Assigns versions to a number of servers: each version at least once if there are enough servers, the rest by weight. */
const toVersions = (shares: ReadonlyArray<{version: string; weight: number}>, count: number): string[] => {
	const total = shares.reduce((sum, {weight}) => sum + weight, 0);
	const assigned = shares.slice(0, count).map(({version}) => version);
	const counts = new Map(assigned.map(version => [version, 1]));
	while (shares.length > 0 && assigned.length < count) {
		const deficits = shares.map(({version, weight}) => ({version, deficit: (weight / total * count) - (counts.get(version) ?? 0)}));
		const {version} = deficits.toSorted((a, b) => b.deficit - a.deficit)[0]!;
		counts.set(version, (counts.get(version) ?? 0) + 1);
		assigned.push(version);
	}

	return assigned;
};

/**
 * Sorts servers into the order in which versions of a split are assigned, round-robin
 * over the zones. Prefill and decode servers of one zone then get the same version if
 * zones have equal numbers of both, so that a zone that is cut off has a pair.
 */
const toRoundRobin = (servers: readonly ServerEntry[]): ServerEntry[] => {
	const countByZone = new Map<ZoneId, number>();
	const places = servers.map(entry => ({entry, rank: toRank(entry.id), zoneRank: toRank(entry.zone)})).toSorted((a, b) => a.rank < b.rank ? -1 : 1).map(place => {
		const round = countByZone.get(place.entry.zone) ?? 0;
		countByZone.set(place.entry.zone, round + 1);
		return {...place, round};
	});
	return places.toSorted((a, b) => a.round - b.round || (a.zoneRank < b.zoneRank ? -1 : 1)).map(({entry}) => entry);
};

/** Returns the wanted version of each server of model pools. */
export const toWantedVersions = (config: Config): ReadonlyMap<ServerId, string> => {
	const wanted = new Map<ServerId, string>();
	for (const pool of config.pools.filter(entry => entry.kind === 'model')) {
		const shares = toShares(config, pool);
		for (const role of ['prefill', 'decode']) {
			const servers = config.servers.filter(entry => entry.pool === pool.name && entry.role === role);
			const ranked = shares.length > 1 ? toRoundRobin(servers) : servers;
			const versions = toVersions(shares, ranked.length);
			for (const [i, {id}] of ranked.entries()) {
				const version = versions[i];
				if (version !== undefined) {
					wanted.set(id, version);
				}
			}
		}
	}

	return wanted;
};

/**
 * Returns the part of a configuration that orders depend on, as a text to compare.
 * Most editions change only rules; if orders waited after each of them, none would
 * ever be sent where a new edition comes every few seconds.
 *
 * @param config - A configuration.
 * @returns A text that is equal for two configurations with the same wanted state of all servers.
 */
export const toWeightsKey = (config: Config): string => JSON.stringify([
	config.pools.filter(pool => pool.kind === 'model').map(pool => [pool.name, pool.model, pool.version, pool.adapters]),
	config.servers.map(server => [server.id, server.pool, server.role]),
	[...toWantedVersions(config)],
	config.weightStoreBytesPerSecond,
]);

/** Returns the next order of one server: first its role, then weights, then adapters one at a time. */
const toNextOrder = (entry: ServerEntry, pool: PoolEntry, version: string | undefined, load: LoadReport): Omit<EngineOrder, 'fence'> | undefined => {
	const model = pool.model ?? load.model;
	const none = {
		model, version: undefined, adapter: undefined, role: undefined,
	};
	if (entry.role !== load.role && entry.role !== 'plain') {
		return {...none, kind: 'set-role', role: entry.role};
	}

	if (load.model !== model || (version !== undefined && load.version !== version)) {
		return {...none, kind: 'load-version', version: version ?? load.version};
	}

	const missing = pool.adapters.find(adapter => !load.adapters.includes(adapter));
	if (missing !== undefined) {
		return {...none, kind: 'load-adapter', adapter: missing};
	}

	const extra = load.adapters.find(adapter => !pool.adapters.includes(adapter));
	return extra === undefined ? undefined : {...none, kind: 'unload-adapter', adapter: extra};
};

/**
 * Derives the wanted orders.
 *
 * @param view - Reports of servers; a server that has no report, is not serving, is leaving or is unreachable gets no order.
 * @param accepted - The configuration in force; its edition is the fence.
 * @returns At most one order for each server.
 *
 * @example
 * toOrders(view, accepted); // [{server: 'p1', order: {kind: 'load-version', version: 'v2', fence: 7, …}, …}]
 */
export const toOrders = (view: FleetView, accepted: AcceptedConfig): WantedOrder[] => {
	const {config, version: {edition}} = accepted;
	const pools = new Map(config.pools.map(pool => [pool.name, pool]));
	const versions = toWantedVersions(config);
	const orders: WantedOrder[] = [];
	for (const entry of config.servers) {
		const pool = pools.get(entry.pool);
		const status = view.servers.get(entry.id);
		const isSettled = status?.load?.state === 'serving' && !status.leaving && status.reachable !== false;
		if (pool?.kind !== 'model' || status?.load === undefined || !isSettled) {
			continue;
		}

		const order = toNextOrder(entry, pool, versions.get(entry.id), status.load);
		if (order !== undefined) {
			orders.push({
				server: entry.id, group: toGroup(entry), order: {...order, fence: edition}, isDisruptive: order.kind === 'load-version' || order.kind === 'set-role',
			});
		}
	}

	return orders;
};
