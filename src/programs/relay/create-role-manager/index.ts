/**
 * Orders servers of a pool to change roles, so that the pool has the prefill and
 * decode servers that it needs.
 *
 * Two hosts that give orders to the same server undo each other's work, and there
 * is no store to hold a lease in. So only the host that is named in the settings of
 * all hosts gives orders, and none while it hears no other host. While that host is
 * down, servers keep their roles.
 */
import {type Log} from '../../../adapters/log/index.js';
import {pickRoleChanges, type RoleChange} from '../../../domain/pick-role-changes/index.js';
import {type Clock, type Milliseconds} from '../../../ports/clock.js';
import {type Config, type PoolEntry, type ServerEntry} from '../../../ports/config.js';
import {type HostId, type ServerId} from '../../../ports/ids.js';
import {type ServerCalls} from '../../../ports/server-calls.js';
import {msPerSecond} from '../../../ports/units.js';
import {type FleetView} from '../../../ports/view.js';

export type RoleManagerOptions = {
	host: HostId;
	/** Share of a pool's servers in the prefill role, used until it can be estimated from requests. */
	prefillShare: number;
	/** Returns the share estimated from the cost of requests; `undefined` while too little is known. */
	toPrefillShare: (pool: PoolEntry, servers: readonly ServerEntry[]) => number | undefined;
	clock: Clock;
	log: Log;
	/** Tells a server to change its role. */
	assignRole: NonNullable<ServerCalls['assignRole']>;
	toView: () => FleetView | undefined;
	/** Whether this host may give orders, as it is in touch with the platform and with other hosts. On a host that is cut off, servers that have been replaced still look as if they served, and another host may give orders. */
	isConnected: () => boolean;
};

export type RoleManager = {
	/** Checks all pools and gives the orders that are due; called periodically. */
	tick: () => Promise<void>;
};

/**
 * Time after the start in which no order is given. A host that was killed right
 * after an order doesn't remember that order. Fencing tokens come from the wall
 * clock, which may have been set back by some seconds since; after this time the
 * next token is higher nevertheless.
 */
const startGraceMs: Milliseconds = 6 * msPerSecond;

/** Time beyond the role change itself after which an order counts as lost. The server first finishes running answers, which takes ten seconds at most. */
const orderMarginMs: Milliseconds = 20 * msPerSecond;

/**
 * Time after the unannounced loss of a server in which no other server of the pool
 * is ordered to a role. Entries lapse while a zone is cut off or a server restarts,
 * and come back within five seconds. Without this time, a pool of six changed its
 * last but one prefill server, and prompts took 1.3 s from then on. Lost prefill
 * servers are replaced sooner: with one of four left, prompts took 0.5 s instead of
 * 0.2 s for the eighteen seconds until the next order.
 */
const settleAfterLossMs: Readonly<Record<RoleChange['role'], Milliseconds>> = {
	decode: 10 * msPerSecond,
	prefill: 5 * msPerSecond,
};

type ChangeablePool = {pool: PoolEntry; servers: readonly ServerEntry[]; sinceLossMs: Milliseconds};

type PoolChange = {pool: PoolEntry; change: RoleChange; share: number};

type PendingOrder = {role: RoleChange['role']; expiresAt: Milliseconds};

type PoolServers = {
	published: readonly ServerEntry[];
	/** Published servers that aren't leaving. */
	remaining: readonly ServerEntry[];
};

/** Tracks when each pool last lost a server without notice. A server that announced its leaving does not come back, so waiting for it has no use. */
function createLossTracker() {
	const seen = new Map<string, {remaining: readonly ServerEntry[]; lostAt: Milliseconds}>();
	return {
		lastLossAt(pool: string, {published, remaining}: PoolServers, now: Milliseconds): Milliseconds {
			const ids = new Set(published.map(({id}) => id));
			const known = seen.get(pool);
			const isLoss = known?.remaining.some(({id}) => !ids.has(id)) ?? false;
			const lostAt = isLoss ? now : known?.lostAt ?? -Infinity;
			seen.set(pool, {remaining, lostAt});
			return lostAt;
		},
	};
}

/**
 * Creates the role manager of one host.
 *
 * @param options - See {@link RoleManagerOptions}.
 * @returns The role manager.
 */
export function createRoleManager(options: RoleManagerOptions): RoleManager {
	const {
		host, prefillShare, toPrefillShare, clock, log, assignRole, toView, isConnected,
	} = options;
	const startedAt = clock.now();
	const startedWallMs = clock.wallNow();
	const pendingOrders = new Map<ServerId, PendingOrder>();
	const lossTracker = createLossTracker();

	/** Fencing token: Unix seconds at the start plus the monotonic time since, so that a step of the wall clock does not lower the token within one process. */
	const toFence = (now: Milliseconds): number => Math.floor((startedWallMs + now - startedAt) / msPerSecond);

	/** Removes orders that are done or lost, or whose server is gone. */
	function removeFinishedOrders(config: Config, now: Milliseconds): void {
		const roles = new Map(config.servers.map(({id, role}) => [id, role]));
		for (const [id, {role, expiresAt}] of pendingOrders) {
			if (now >= expiresAt || !roles.has(id) || roles.get(id) === role) {
				pendingOrders.delete(id);
			}
		}
	}

	async function giveOrder({pool, change: {server, role}, share}: PoolChange, now: Milliseconds): Promise<void> {
		pendingOrders.set(server.id, {role, expiresAt: now + (pool.roleChangeMs ?? 0) + orderMarginMs});
		const fence = toFence(now);
		const done = await assignRole(server, {role, host, fence});
		if (done.isOk()) {
			log.info('server told to change its role', {
				server: server.id, zones: server.zone, state: role, prefillShare: Math.round(share * 100) / 100, fence,
			});
			return;
		}

		const {kind, reason, message} = done.error;
		log.warn('server did not accept the order to change its role', {
			server: server.id, state: role, fence, kind, reason: reason ?? message,
		});
	}

	/** Returns the pools whose servers can change roles, with their remaining servers and the time since one was lost. */
	function findChangeable(view: FleetView, config: Config, now: Milliseconds): ChangeablePool[] {
		return config.pools
			.filter(pool => pool.roleChangeMs !== undefined)
			.map(pool => {
				const published = config.servers.filter(server => server.pool === pool.name);
				const remaining = published.filter(({id}) => view.servers.get(id)?.leaving !== true);
				return {pool, servers: remaining, sinceLossMs: now - lossTracker.lastLossAt(pool.name, {published, remaining}, now)};
			});
	}

	function pickChanges({pool, servers, sinceLossMs}: ChangeablePool): PoolChange[] {
		const share = toPrefillShare(pool, servers) ?? prefillShare;
		return pickRoleChanges(servers, {prefillShare: share, changing: new Set(pendingOrders.keys())})
			.filter(({role}) => sinceLossMs >= settleAfterLossMs[role])
			.map(change => ({pool, change, share}));
	}

	return {
		async tick() {
			const now = clock.now();
			const view = toView();
			if (view?.accepted === undefined) {
				return;
			}

			const {config} = view.accepted;
			const changeable = findChangeable(view, config, now);
			removeFinishedOrders(config, now);
			if (now - startedAt < startGraceMs || !isConnected()) {
				return;
			}

			const changes = changeable.flatMap(pool => pickChanges(pool));
			await Promise.all(changes.map(async change => giveOrder(change, now)));
		},
	};
}
