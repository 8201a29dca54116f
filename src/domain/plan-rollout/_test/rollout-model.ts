/**
 * A model of a fleet's rollout on a logical clock, for property tests and benches of
 * orders: hosts that see reports and editions late, pause between decision and
 * sending, or are on two sides of a partition, and servers that load. The effect of
 * each order is checked against the actual state of the servers.
 */
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type AcceptedConfig, type RolloutPolicy, type ServerEntry} from '../../../ports/config.js';
import {type HostStatus, type ServerStatus} from '../../../ports/view.js';
import {toConfig, toReport, toServer} from '../../create-placement/_lib/fixtures.js';
import {isOrderAllowed, toOrderCircumstances, type OrderLimits} from '../../is-order-allowed/index.js';
import {pickPollers} from '../../pick-pollers/index.js';
import {toWeightsKey, type WantedOrder} from '../../to-orders/index.js';
import {planRollout, type HeldReason} from '../index.js';

export type ModelZone = {prefills: number; decodes: number};

export type RolloutOptions = {
	zones: readonly ModelZone[];
	random: Random;
	/** Versions published, and when. */
	editions: ReadonlyArray<{at: Milliseconds; version: string}>;
	endAt: Milliseconds;
	/** A partition: while it lasts, all zones but the first reach neither the platform nor the first zone. */
	cut?: {from: Milliseconds; to: Milliseconds; reachesServers: boolean};
	/** A server that is down for some time. */
	down?: {server: string; from: Milliseconds; to: Milliseconds};
	rollout?: RolloutPolicy;
	/** Whether a server refuses orders of an older edition. */
	checksFence?: (index: number) => boolean;
	/** Pause of a host between its decision and the check before sending, for each round of planning. */
	toPauseMs?: (host: number, now: Milliseconds) => Milliseconds;
	/** Time from the check to the arrival of an order. */
	toTravelMs?: (host: number, now: Milliseconds) => Milliseconds;
	/** Delay with which a host receives an edition. */
	toNewsMs?: (host: number) => Milliseconds;
	/** Maximum age of the server reports that a host sees. */
	maxLagMs?: Milliseconds;
	toLoadMs?: () => Milliseconds;
	storeSlots?: number;
	/** Number of loads beyond `storeSlots` that do not count as a fault. */
	slackLoads?: number;
	/** Safeguard to override. */
	settleMs?: Milliseconds;
	limits?: OrderLimits;
};

/** A violation by an order: `older` edition, last pair of a `pool` or a `zone`, `two-zones` without a pair, or store `rate` exceeded. */
export type RolloutFault = {at: Milliseconds; server: string; kind: 'older' | 'pool' | 'zone' | 'two-zones' | 'rate'; version: string};

export type Rollout = {
	faults: RolloutFault[];
	versions: Readonly<Record<string, string>>;
	/** When the last load ended. */
	doneAt: Milliseconds;
	/** Reasons for which orders were held at the end. */
	held: readonly HeldReason[];
	/** Number of orders that changed a server's version. */
	loads: number;
};

const stepMs = 250;
const planMs = 2000;
const suspectMs = 3000;
const callTimeoutMs = 5000;
const serverBytesPerSecond = 1_000_000_000;

type ModelServer = {entry: ServerEntry; version: string; fence: number; loadingUntil: Milliseconds};

type ModelHost = {
	index: number;
	zone: string;
	accepted: AcceptedConfig | undefined;
	key: string;
	acceptedAt: Milliseconds;
	confirmedAt: Milliseconds | undefined;
	seen: Map<string, ServerStatus>;
	asleepUntil: Milliseconds;
	nextPlanAt: Milliseconds;
	pending: {orders: WantedOrder[]; at: Milliseconds; version: AcceptedConfig['version']} | undefined;
	held: readonly HeldReason[];
};

const toPairVersions = (servers: readonly ModelServer[]): Set<string> => {
	const decodes = new Set(servers.filter(({entry}) => entry.role === 'decode').map(({version}) => version));
	return new Set(servers.filter(({entry, version}) => entry.role === 'prefill' && decodes.has(version)).map(({version}) => version));
};

/**
 * Runs a rollout.
 *
 * @param options - See {@link RolloutOptions}.
 * @returns The faults, the final versions, and the orders held at the end.
 */
export function runRollout(options: RolloutOptions): Rollout {
	const {
		zones, random, editions, endAt, cut, down, checksFence = () => true, toPauseMs = () => 0, toTravelMs = () => 0, toNewsMs = () => 0, maxLagMs = 0, toLoadMs = () => 5000, storeSlots = 1,
	} = options;
	const entries = zones.flatMap(({prefills, decodes}, z) => [
		...Array.from({length: prefills}, (_, i) => toServer(`z${z}-p${i}`, 'prefill', {zone: `z${z}`})),
		...Array.from({length: decodes}, (_, i) => toServer(`z${z}-d${i}`, 'decode', {zone: `z${z}`})),
	]).map((entry, i) => ({...entry, checksFence: checksFence(i)}));
	const servers: ModelServer[] = entries.map(entry => ({
		entry, version: 'v1', fence: 1, loadingUntil: 0,
	}));
	const hosts: ModelHost[] = zones.map((_, index) => ({
		index, zone: `z${index}`, accepted: undefined, key: '', acceptedAt: 0, confirmedAt: undefined, seen: new Map(), asleepUntil: 0, nextPlanAt: 0, pending: undefined, held: [],
	}));
	const published = editions.map(({at, version}, i) => {
		const base = toConfig(entries, {weightStoreBytesPerSecond: storeSlots * serverBytesPerSecond});
		const config = {...base, pools: base.pools.map(pool => pool.kind === 'model' ? {...pool, version, ...(options.rollout && {rollout: options.rollout})} : pool)};
		return {at, accepted: {version: {edition: i + 2, revision: i + 2, digest: `${i + 2}`}, config, text: ''}};
	});
	const result = {faults: [] as RolloutFault[], loads: 0, doneAt: 0};
	const flying: Array<{at: Milliseconds; wanted: WantedOrder}> = [];
	let newestFence = 1;

	const isCut = (now: Milliseconds): boolean => cut !== undefined && now >= cut.from && now < cut.to;
	const isFar = (index: number): boolean => index > 0;
	const isDown = (server: string, now: Milliseconds): boolean => down?.server === server && now >= down.from && now < down.to;
	const isServing = (server: ModelServer, now: Milliseconds): boolean => server.loadingUntil <= now && !isDown(server.entry.id, now);

	const toHostView = (host: ModelHost, now: Milliseconds): Map<string, HostStatus> => new Map(hosts.map(other => {
		const isApart = isCut(now) && now >= cut!.from + suspectMs && isFar(host.index) !== isFar(other.index);
		const isAsleep = other !== host && other.asleepUntil > now + suspectMs;
		return [other.zone, {
			id: other.zone, zone: other.zone, life: isApart || isAsleep ? 'suspect' : 'alive', incarnation: 1, entryAddress: '', agentAddress: '', leaving: false,
		}];
	}));

	const toView = (host: ModelHost, now: Milliseconds) => ({
		accepted: host.accepted, hosts: toHostView(host, now), servers: host.seen, platformConfirmedAt: host.confirmedAt, receivedAt: now,
	});

	const hear = (host: ModelHost, now: Milliseconds): void => {
		const isDeaf = isCut(now) && isFar(host.index);
		const known = isDeaf ? undefined : published.findLast(({at}) => at + toNewsMs(host.index) <= now)?.accepted;
		if (known !== undefined && known.version.edition > (host.accepted?.version.edition ?? 0)) {
			const key = toWeightsKey(known.config);
			host.acceptedAt = key === host.key ? host.acceptedAt : now;
			host.accepted = known;
			host.key = key;
		}

		const askedAt = now - (random() * 6000);
		const newest = published.findLast(({at}) => at <= askedAt)?.accepted.version.edition;
		if (!isDeaf && newest !== undefined && newest === host.accepted?.version.edition) {
			host.confirmedAt = Math.max(askedAt, host.confirmedAt ?? -Infinity);
		}
	};

	const look = (host: ModelHost, now: Milliseconds): void => {
		for (const server of servers) {
			const {entry, version, fence} = server;
			const isApart = isCut(now) && !cut!.reachesServers && isFar(host.index) !== (entry.zone !== 'z0');
			const prev = host.seen.get(entry.id);
			const isDue = prev === undefined || now - prev.loadAt >= random() * maxLagMs;
			if (isApart || isDown(entry.id, now)) {
				host.seen.set(entry.id, {
					id: entry.id, leaving: false, load: prev?.load, loadAt: prev?.loadAt ?? -Infinity, reachable: false,
				});
			} else if (isDue) {
				host.seen.set(entry.id, {
					id: entry.id, leaving: false, load: toReport(entry, {version, fence, state: server.loadingUntil > now ? 'loading' : 'serving'}), loadAt: now, reachable: true,
				});
			}
		}
	};

	const judge = (server: ModelServer, {order}: WantedOrder, now: Milliseconds): void => {
		const {id, zone} = server.entry;
		const addFault = (kind: RolloutFault['kind']): void => {
			result.faults.push({
				at: now, server: id, kind, version: order.version ?? '',
			});
		};

		if (order.fence < newestFence) {
			addFault('older');
		}

		newestFence = Math.max(newestFence, order.fence);
		const before = servers.filter(other => isServing(other, now));
		const after = before.filter(other => other !== server);
		const hasPair = (some: readonly ModelServer[]): boolean => toPairVersions(some).size > 0;
		const inZone = (some: readonly ModelServer[], wanted: string): ModelServer[] => some.filter(other => other.entry.zone === wanted);
		if (options.rollout !== 'allow-gap' && hasPair(before) && !hasPair(after)) {
			addFault('pool');
		}

		const {prefills, decodes} = zones[Number(zone.slice(1))]!;
		if (options.rollout !== 'allow-gap' && hasPair(inZone(before, zone)) && !hasPair(inZone(after, zone))) {
			const withoutPair = zones.filter((_, z) => !hasPair(inZone(after, `z${z}`))).length;
			if (prefills > 1 && decodes > 1) {
				addFault('zone');
			} else if (withoutPair > 1) {
				addFault('two-zones');
			}
		}

		if (servers.filter(other => other.loadingUntil > now).length >= storeSlots + (options.slackLoads ?? 0)) {
			addFault('rate');
		}
	};

	const arrive = (wanted: WantedOrder, now: Milliseconds): void => {
		const server = servers.find(({entry}) => entry.id === wanted.server)!;
		const {order} = wanted;
		const isRefused = isDown(server.entry.id, now) || (server.entry.checksFence && order.fence < server.fence);
		if (isRefused) {
			return;
		}

		const isSame = order.version === server.version;
		if (!isSame) {
			judge(server, wanted, now);
			server.version = order.version!;
			server.loadingUntil = now + toLoadMs();
			result.loads++;
			result.doneAt = server.loadingUntil;
		}

		// An engine that does not check fences reports the fence of its last order.
		server.fence = order.fence;
	};

	const send = (host: ModelHost, now: Milliseconds): void => {
		const {pending} = host;
		host.pending = undefined;
		for (const wanted of pending?.orders ?? []) {
			const circumstances = toOrderCircumstances(toView(host, now), wanted, {at: pending!.at, version: pending!.version}, now);
			if (isOrderAllowed(circumstances, options.limits)) {
				const at = now + toTravelMs(host.index, now);
				// A host waits for answers, up to the call timeout, before it plans again.
				host.nextPlanAt = Math.max(host.nextPlanAt, Math.min(at, now + callTimeoutMs) + stepMs);
				flying.push({at, wanted});
			}
		}
	};

	const plan = (host: ModelHost, now: Milliseconds): void => {
		if (host.accepted === undefined || now < host.nextPlanAt) {
			return;
		}

		host.nextPlanAt = now + (planMs * (0.9 + (random() / 5)));
		const view = toView(host, now);
		const {orders, held} = planRollout(view, host.accepted, now, {acceptedAt: host.acceptedAt, ...(options.settleMs !== undefined && {settleMs: options.settleMs})});
		host.held = held.map(({reason}) => reason);
		const mine = orders.filter(({server}) => pickPollers(entries.find(({id}) => id === server)!, view.hosts.values(), 1)[0] === host.zone);
		host.pending = {orders: mine, at: now, version: host.accepted.version};
		host.asleepUntil = now + toPauseMs(host.index, now);
	};

	for (let now = 0; now <= endAt; now += stepMs) {
		for (const host of hosts) {
			if (host.asleepUntil > now) {
				continue;
			}

			// A host that wakes up sends before it receives anything new.
			send(host, now);
			hear(host, now);
			look(host, now);
			plan(host, now);
			if (host.asleepUntil <= now) {
				send(host, now);
			}
		}

		for (const {wanted} of flying.filter(({at}) => at <= now)) {
			arrive(wanted, now);
		}

		flying.splice(0, flying.length, ...flying.filter(({at}) => at > now));
	}

	return {
		...result,
		versions: Object.fromEntries(servers.map(({entry, version}) => [entry.id, version])),
		held: [...new Set(hosts.flatMap(({held}) => held))],
	};
}
