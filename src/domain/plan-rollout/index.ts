/**
 * Plans which of the wanted orders may be sent now: within the weight store's rate,
 * to a few servers of a group at a time, and never to a group's last serving copy, or
 * to a server of the last pair (a prefill and a decode server with one version of
 * weights) of a pool or of one of its zones.
 *
 * A zone with one server in a role cannot change weights without a gap, a time in
 * which it has no pair. It does so while other zones can serve its requests, one zone
 * at a time. A pool with `rollout: allow-gap` does so without other zones.
 *
 * Hosts plan independently of one another and see reports late. Their plans are still
 * consistent, because servers are ordered by a fixed rank: until the first server is
 * reported as loading or done, every host holds the order of the second. That, and a
 * wait after each new edition so that two editions are never rolled out at once, keeps
 * the last pair in service without messages between hosts.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type AcceptedConfig, type ServerEntry} from '../../ports/config.js';
import {type ServerId, type ZoneId} from '../../ports/ids.js';
import {type FleetView} from '../../ports/view.js';
import {
	toGroup, toOrders, toRank, toWantedVersions, type WantedOrder,
} from '../to-orders/index.js';
import {createPairs} from './_lib/create-pairs.js';
import {createStandIns} from './_lib/create-stand-ins.js';
import {toGroups, type GroupState} from './_lib/to-groups.js';

export type RolloutPlanOptions = {
	/** Monotonic time at which this host accepted the first configuration with the same wanted state of servers as the one in force, see `toWeightsKey`. */
	acceptedAt: Milliseconds;
	/** Time that must have passed since `acceptedAt`, so that all hosts have the same wanted state. */
	settleMs?: Milliseconds;
	/** Age beyond which a report is stale, and ignored. */
	maxReportAgeMs?: Milliseconds;
	/** Bytes a second at which one server reads weights. */
	serverBytesPerSecond?: number;
	/** Share of a group that may be out of service for orders at a time; one server at least. */
	maxOutShare?: number;
};

/**
 * Why an order is held.
 *
 * - `settling`: the edition is new, and some hosts may not have it yet.
 * - `overtaken`: a server of the pool accepted an order of a later edition, so this host's edition is old.
 * - `unconfirmed`: the platform has not confirmed this host's configuration lately; `giveOrders` sets this reason.
 * - `stale-report`: the server has no recent load report.
 * - `last-copy`, `last-pair`, `last-zone-pair`: no copy would serve in the pool's role, or no pair in the pool or the zone.
 * - `no-stand-in`: the zone would have no pair, and no other zone can serve its requests.
 * - `zone-turn`: the zone would have no pair, and another zone has none or comes first.
 * - `turn`: the maximum number of servers of the role is out of service already.
 * - `store-rate`: the maximum number of servers loads already.
 */
export type HeldReason = 'settling' | 'overtaken' | 'unconfirmed' | 'stale-report' | 'last-copy' | 'last-pair' | 'last-zone-pair' | 'no-stand-in' | 'zone-turn' | 'turn' | 'store-rate';

export type HeldOrder = WantedOrder & {reason: HeldReason};

export type RolloutPlan = {
	/** Orders to send now, each by the host that is responsible for the server. */
	orders: WantedOrder[];
	/** Orders that are held, with the reason. */
	held: readonly HeldOrder[];
};

/**
 * Maximum time after an edition came into force in which an order of the previous
 * edition may still change a server's report: a view counts as confirmed for 10 s,
 * an order may be in flight for 5 s, and a report may be 5 s old. If two editions were
 * rolled out at once, each could take a server out of service that the other relies on.
 */
const defaultSettleMs = 20_000;
const defaultMaxReportAgeMs = 5000;
const defaultServerBytesPerSecond = 1_000_000_000;
const defaultMaxOutShare = 0.25;

const countLoading = (view: FleetView): number => {
	let loading = 0;
	for (const status of view.servers.values()) {
		loading += status.load?.state === 'loading' ? 1 : 0;
	}

	return loading;
};

/** Returns the pools in which a server accepted an order of a later edition than the one in force on this host. */
const toOvertakenPools = (view: FleetView, {config, version}: AcceptedConfig): ReadonlySet<string> =>
	new Set(config.servers.filter(({id}) => (view.servers.get(id)?.load?.fence ?? 0) > version.edition).map(({pool}) => pool));

/** Reasons that `allow-gap` overrides: each waits for servers that may never be available. */
const gapReasons: ReadonlySet<HeldReason> = new Set(['last-copy', 'last-pair', 'last-zone-pair', 'no-stand-in', 'zone-turn', 'turn']);

/** Sorts wanted orders by the rank of their servers, which is the same on every host. */
const toRanked = (wanted: readonly WantedOrder[]): WantedOrder[] => {
	const ranks = new Map(wanted.map(({server}) => [server, toRank(server)]));
	return wanted.toSorted((a, b) => ranks.get(a.server)! < ranks.get(b.server)! ? -1 : 1);
};

/**
 * Plans which wanted orders to send now.
 *
 * @param view - Reports of servers; their ages are taken at `now`.
 * @param accepted - The configuration in force.
 * @param now - Monotonic milliseconds.
 * @param options - When the configuration was accepted, and limits.
 * @returns Orders to send now, and those held with the reason.
 *
 * @example
 * const {orders, held} = planRollout(view, accepted, now, {acceptedAt});
 */
export const planRollout = (view: FleetView, accepted: AcceptedConfig, now: Milliseconds, options: RolloutPlanOptions): RolloutPlan => {
	const oldestAt = now - (options.maxReportAgeMs ?? defaultMaxReportAgeMs);
	const maxOutShare = options.maxOutShare ?? defaultMaxOutShare;
	const isSettling = now - options.acceptedAt < (options.settleMs ?? defaultSettleMs);
	const entries = new Map(accepted.config.servers.map(entry => [entry.id, entry]));
	const groups = toGroups(view, accepted, oldestAt);
	const overtaken = toOvertakenPools(view, accepted);
	const taken = new Map<string, number>();
	const out = new Set<ServerId>();
	const isCopy = (entry: ServerEntry): boolean => !out.has(entry.id) && groups.get(toGroup(entry))?.copies.has(entry.id) === true;
	const pairs = createPairs({
		view, accepted, isCopy, wanted: toWantedVersions(accepted.config),
	});
	const standIns = createStandIns({
		view, accepted, isCopy, pairs,
	});
	const zoneTurns = new Map<string, ZoneId>();
	const storeSlots = Math.max(1, Math.floor(accepted.config.weightStoreBytesPerSecond / (options.serverBytesPerSecond ?? defaultServerBytesPerSecond)));
	let freeLoads = storeSlots - countLoading(view);

	/** Whether an order takes a serving copy out of service; a server that does not serve in its published role is not a copy. */
	const isCopyTaken = ({server, group, isDisruptive}: WantedOrder): boolean => isDisruptive && groups.get(group)?.copies.has(server) === true;

	/**
	 * Returns why an order of the zone's last pair is held. Only one zone of a pool and
	 * region may be without a pair at a time, and the first one by rank keeps its turn
	 * also while it is held. If a host that sees no free slots for it passed it over,
	 * another host could send its order at the same time, and two zones would have no pair.
	 */
	const toZoneReason = (entry: ServerEntry): HeldReason | undefined => {
		const {pool, zone} = entry;
		if (!pairs.isLastOfZone(entry)) {
			return undefined;
		}

		if (!pairs.needsGap(pool, zone)) {
			return 'last-zone-pair';
		}

		const scope = `${pool} ${standIns.toRegion(zone)}`;
		const turn = zoneTurns.get(scope) ?? zone;
		zoneTurns.set(scope, turn);
		const isOtherOut = standIns.toNeighbours(pool, zone).some(other => pairs.hasWantedPair(pool, other) && !pairs.hasZonePair(pool, other));
		if (turn !== zone || isOtherOut) {
			return 'zone-turn';
		}

		return standIns.canStandIn(pool, zone) ? undefined : 'no-stand-in';
	};

	const toCopyReason = ({group}: WantedOrder, entry: ServerEntry, state: GroupState): HeldReason | undefined => {
		const takenHere = taken.get(group) ?? 0;
		// Called first, because it records which zone has the turn.
		const zoneReason = toZoneReason(entry);
		if (state.copies.size - takenHere <= 1) {
			return 'last-copy';
		}

		if (state.size - state.copies.size + takenHere >= Math.max(1, Math.floor(state.size * maxOutShare))) {
			return 'turn';
		}

		return pairs.isLastOfPool(entry) ? 'last-pair' : zoneReason;
	};

	const toHeldReason = (wanted: WantedOrder, entry: ServerEntry): HeldReason | undefined => {
		const status = view.servers.get(wanted.server);
		if (isSettling) {
			return 'settling';
		}

		if (overtaken.has(entry.pool)) {
			return 'overtaken';
		}

		if (status === undefined || status.loadAt < oldestAt) {
			return 'stale-report';
		}

		const state = groups.get(wanted.group);
		const copyReason = state !== undefined && isCopyTaken(wanted) ? toCopyReason(wanted, entry, state) : undefined;
		return copyReason ?? (wanted.order.kind !== 'unload-adapter' && freeLoads <= 0 ? 'store-rate' : undefined);
	};

	const orders: WantedOrder[] = [];
	const held: HeldOrder[] = [];

	const send = (wanted: WantedOrder, entry: ServerEntry): void => {
		if (isCopyTaken(wanted)) {
			out.add(wanted.server);
			pairs.take(entry);
			taken.set(wanted.group, (taken.get(wanted.group) ?? 0) + 1);
		}

		freeLoads -= wanted.order.kind === 'unload-adapter' ? 0 : 1;
		orders.push(wanted);
	};

	const isMoving = (pool: string): boolean => {
		const isOrdered = orders.some(({server, isDisruptive}) => isDisruptive && entries.get(server)?.pool === pool);
		return isOrdered || [...view.servers.values()].some(({id, load}) => entries.get(id)?.pool === pool && load?.state === 'loading');
	};

	/** Sends the first order of each pool with `allow-gap` that can't be sent without a gap, once no other order or load of the pool is in progress. */
	const sendAllowedGaps = (): void => {
		for (const {name} of accepted.config.pools.filter(({rollout}) => rollout === 'allow-gap')) {
			const next = held.findIndex(({server, reason}) => entries.get(server)?.pool === name && gapReasons.has(reason));
			if (next !== -1 && freeLoads > 0 && !isMoving(name)) {
				const [{reason: _, ...wanted}] = held.splice(next, 1) as [HeldOrder];
				send(wanted, entries.get(wanted.server)!);
			}
		}
	};

	for (const wanted of toRanked(toOrders(view, accepted))) {
		const entry = entries.get(wanted.server)!;
		const reason = toHeldReason(wanted, entry);
		if (reason === undefined) {
			send(wanted, entry);
		} else {
			held.push({...wanted, reason});
		}
	}

	sendAllowedGaps();
	return {orders, held};
};
