/**
 * Which of the wanted orders may go out now: inside the weight store's rate, a
 * few servers of a group at a time, and never a group's last serving copy or
 * a pool's last pair of one version.
 *
 * Hosts decide apart from one another and see reports late. They still agree,
 * because servers of a group take turns in a fixed order: while the first has
 * not been seen at work or done, every host holds the second back. That, and a
 * wait after each new edition so that two editions are never rolled out at
 * once, keeps the last copy safe without a word between hosts.
 */
import {type Milliseconds} from '../../ports/clock.js';
import {type AcceptedConfig, type ServerEntry} from '../../ports/config.js';
import {type ServerId} from '../../ports/ids.js';
import {type FleetView, type ServerStatus} from '../../ports/view.js';
import {
	toGroup, toOrders, toRank, type WantedOrder,
} from '../to-orders/index.js';
import {createPairs} from './_lib/create-pairs.js';

export type LoadOptions = {
	/** Monotonic time at which this host accepted the first configuration that wants of servers what the one in force does, see `toWeightsKey`. */
	acceptedAt: Milliseconds;
	/** Time that must have passed since `acceptedAt`, so that all hosts want the same. */
	settleMs?: Milliseconds;
	/** Age beyond which a report proves nothing. */
	maxReportAgeMs?: Milliseconds;
	/** Bytes a second at which one server reads weights. */
	serverBytesPerSecond?: number;
	/** Share of a group that may be out of service for orders at a time; one server at least. */
	maxOutShare?: number;
};

export type HeldReason = 'settling' | 'stale-report' | 'last-copy' | 'last-pair' | 'turn' | 'store-rate';

export type LoadPlan = {
	/** Orders to send now, each by the host that looks after the server. */
	orders: WantedOrder[];
	/** Orders that wait, and for what. */
	held: ReadonlyArray<WantedOrder & {reason: HeldReason}>;
};

const defaultSettleMs = 15_000;
const defaultMaxReportAgeMs = 5000;
const defaultServerBytesPerSecond = 1_000_000_000;
const defaultMaxOutShare = 0.25;

type GroupState = {
	size: number;
	/** Servers that serve the pool's model in the role published, by fresh reports. */
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

const toGroups = (view: FleetView, accepted: AcceptedConfig, oldestAt: Milliseconds): ReadonlyMap<string, GroupState> => {
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

const countLoading = (view: FleetView): number => {
	let loading = 0;
	for (const status of view.servers.values()) {
		loading += status.load?.state === 'loading' ? 1 : 0;
	}

	return loading;
};

/**
 * @param view - What is known of servers; ages are judged by `now`.
 * @param accepted - The configuration in force.
 * @param now - Monotonic milliseconds.
 * @param options - When the configuration was accepted, and limits.
 * @returns Orders to send now, and those held with the reason.
 *
 * @example
 * const {orders, held} = pickLoads(view, accepted, now, {acceptedAt});
 */
export const pickLoads = (view: FleetView, accepted: AcceptedConfig, now: Milliseconds, options: LoadOptions): LoadPlan => {
	const oldestAt = now - (options.maxReportAgeMs ?? defaultMaxReportAgeMs);
	const maxOutShare = options.maxOutShare ?? defaultMaxOutShare;
	const isSettling = now - options.acceptedAt < (options.settleMs ?? defaultSettleMs);
	const groups = toGroups(view, accepted, oldestAt);
	const taken = new Map<string, number>();
	const out = new Set<ServerId>();
	const pairs = createPairs(view, accepted, entry => groups.get(toGroup(entry))?.copies.has(entry.id) === true);
	const storeSlots = Math.max(1, Math.floor(accepted.config.weightStoreBytesPerSecond / (options.serverBytesPerSecond ?? defaultServerBytesPerSecond)));
	let freeLoads = storeSlots - countLoading(view);

	/** A server that does not serve as published is no copy, so an order takes nothing away. */
	const isCopyTaken = ({server, group, isDisruptive}: WantedOrder): boolean => isDisruptive && groups.get(group)?.copies.has(server) === true;

	const toHeldReason = (wanted: WantedOrder): HeldReason | undefined => {
		const status = view.servers.get(wanted.server);
		if (isSettling) {
			return 'settling';
		}

		if (status === undefined || status.loadAt < oldestAt) {
			return 'stale-report';
		}

		const state = groups.get(wanted.group);
		if (state !== undefined && isCopyTaken(wanted)) {
			const takenHere = taken.get(wanted.group) ?? 0;
			if (state.copies.size - takenHere <= 1) {
				return 'last-copy';
			}

			if (state.size - state.copies.size + takenHere >= Math.max(1, Math.floor(state.size * maxOutShare))) {
				return 'turn';
			}

			if (pairs.isLast(wanted.server, out)) {
				return 'last-pair';
			}
		}

		return wanted.order.kind !== 'unload-adapter' && freeLoads <= 0 ? 'store-rate' : undefined;
	};

	const orders: WantedOrder[] = [];
	const held: Array<WantedOrder & {reason: HeldReason}> = [];
	const ranks = new Map<ServerId, string>();
	const wantedOrders = toOrders(view, accepted);
	for (const {server} of wantedOrders) {
		ranks.set(server, toRank(server));
	}

	for (const wanted of wantedOrders.toSorted((a, b) => ranks.get(a.server)! < ranks.get(b.server)! ? -1 : 1)) {
		const reason = toHeldReason(wanted);
		if (reason !== undefined) {
			held.push({...wanted, reason});
			continue;
		}

		if (isCopyTaken(wanted)) {
			out.add(wanted.server);
		}

		taken.set(wanted.group, (taken.get(wanted.group) ?? 0) + (isCopyTaken(wanted) ? 1 : 0));
		freeLoads -= wanted.order.kind === 'unload-adapter' ? 0 : 1;
		orders.push(wanted);
	}

	return {orders, held};
};
