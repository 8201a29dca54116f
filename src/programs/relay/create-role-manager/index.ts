/**
 * Gives the orders that bring a pool's servers to the roles that it needs.
 *
 * Two hosts that order one server undo each other's work, and there is no store
 * to hold a lease in. So one host alone gives orders: the one that all hosts'
 * settings name. No cut, pause or restart makes a second one; while it is away,
 * servers keep the roles that they have.
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
	/** Part of a pool's servers that is to compute prompts until requests have told what they cost. */
	prefillShare: number;
	/** The same, by what requests cost; `undefined` while too little is known. */
	toPrefillShare: (pool: PoolEntry, servers: readonly ServerEntry[]) => number | undefined;
	clock: Clock;
	log: Log;
	/** Tells a server to change its role. */
	assignRole: NonNullable<ServerCalls['assignRole']>;
	toView: () => FleetView | undefined;
	/** Whether the platform answered the last read. Behind a cut, servers that were replaced look as if they still served. */
	isConnected: () => boolean;
};

export type RoleManager = {
	/** Looks at all pools, and orders what is needed; the program calls it now and then. */
	tick: () => Promise<void>;
};

/**
 * Time after the start in which no order is given. A host that was killed right
 * after an order doesn't remember it. Fencing numbers come from the time of day,
 * which may be set back by some seconds meanwhile; after this time the next one
 * is higher all the same.
 */
const startGraceMs: Milliseconds = 6 * msPerSecond;

/** Time beyond the change itself after which an order counts as lost: running answers end first, and they take ten seconds at most. */
const orderMarginMs: Milliseconds = 20 * msPerSecond;

/**
 * Time after a server of a pool went away unannounced in which no server changes
 * to a role. Entries lapse while a zone is cut off or a server restarts, and come
 * back within five seconds: judged by what is left meanwhile, a pool of six
 * changed its last but one prefill server, and prompts took 1.3 s from then on.
 * Lost prefill servers are made good sooner: where one was left of four, prompts
 * took 0.5 s in place of 0.2 for the eighteen seconds until the next order.
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
	/** Those of them that don't leave. */
	remaining: readonly ServerEntry[];
};

/** Remembers when each pool last lost a server that had not said that it would leave; one that did stays away, and nothing is gained by waiting. */
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
 * Creates the keeper of one host.
 *
 * @param options - What is wanted, what is known, and how servers are told.
 * @returns The keeper.
 */
export function createRoleManager(options: RoleManagerOptions): RoleManager {
	const {
		host, prefillShare, toPrefillShare, clock, log, assignRole, toView, isConnected,
	} = options;
	const startedAt = clock.now();
	const startedWallMs = clock.wallNow();
	const pendingOrders = new Map<ServerId, PendingOrder>();
	const lossTracker = createLossTracker();

	/** Seconds of the day at the start, counted on by the steady clock: within one life no step of the time of day makes it lower. */
	const toFence = (now: Milliseconds): number => Math.floor((startedWallMs + now - startedAt) / msPerSecond);

	/** Forgets orders that are done, lost, or whose server is gone. */
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
		log.warn('server did not take the order to change its role', {
			server: server.id, state: role, fence, kind, reason: reason ?? message,
		});
	}

	/** The pools whose servers can change roles, with their servers in service and the time since one was lost. */
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
