/**
 * Places a request: picks the prefill and decode servers with the earliest first
 * token by this host's own estimate, at no needless cost in token speed, or says
 * why no server can take the request.
 *
 * A pick samples a few servers for each role from this host's subset and from
 * its whole zone, adds the servers that hold the prompt's prefix, and takes the
 * best pair. The search widens to the whole zone and then to the region only
 * when that pair is missing or late, so the usual cost does not grow with the
 * fleet. Each host decides alone: the decode engine, when asked for a
 * reservation, has the last word on its memory.
 */
import {err, ok} from 'neverthrow';
import {type Milliseconds, type Random} from '../../ports/clock.js';
import {type PoolEntry, type ServerEntry} from '../../ports/config.js';
import {type ServerId} from '../../ports/ids.js';
import {type FleetView} from '../../ports/view.js';
import {createServerCooldowns} from '../create-server-cooldowns/index.js';
import {createLoadEstimate} from '../create-load-estimate/index.js';
import {createPrefixMap} from '../create-prefix-map/index.js';
import {createPrefillThroughput} from '../create-prefill-throughput/index.js';
import {createInterTokenLatency} from '../create-inter-token-latency/index.js';
import {type SharedLoads} from '../create-shared-loads/index.js';
import {createSpillChooser} from '../create-spill-chooser/index.js';
import {createSplitEstimate} from '../create-split-estimate/index.js';
import {createServerHealth, type ServerHealthOptions} from '../create-server-health/index.js';
import {tokensPerBlock as defaultTokensPerBlock} from '../to-prefix-blocks/index.js';
import {createAnswerLengths} from './_lib/create-answer-lengths.js';
import {createFeedback, type LearnedValues} from './_lib/create-feedback.js';
import {createPairSearch} from './_lib/create-pair-search.js';
import {createEligibility} from './_lib/create-eligibility.js';
import {createVersionFilter} from './_lib/create-version-filter.js';
import {createSubsets} from './_lib/create-subsets.js';
import {createUnreportedSearch} from './_lib/create-unreported-search.js';
import {type Search} from './_lib/search-types.js';
import {type Pair} from './_lib/to-best-pair.js';
import {
	type PoolIndex, type PoolServers, type RoleServers, toPoolIndex,
} from './_lib/to-pool-index.js';
import {noServerRetryAfterMs, toLookupRefusal, toRefusal} from './_lib/to-refusal.js';
import {
	type PickPair, type PickPlain, type Placement, type PlacementAccount, type PlacementOptions, type PlacementRefusal, type PlacementRequest, type PlainRequest,
} from './_lib/types.js';

export type * from './_lib/types.js';

const defaultDraws = 2;
const defaultStaleAfterMs = 5000;
const defaultKvBytesPerToken = 131_072;
const defaultCrossZoneMs = 5;
const defaultHoldMs = 5000;

/** Lifetime of a reservation: the predicted time to the first token times this factor, plus a fixed margin. */
const ttlFactor = 1.5;
const ttlMarginMs = 500;

/** Used where hosts don't exchange their in-flight loads. */
const readNoPeerLoad: SharedLoads['read'] = () => ({requests: 0, promptTokens: 0});

/** What a request requires of its servers. */
type Needs = Pick<Search, 'wanted' | 'promptTokens' | 'kvBytes' | 'firstTokenBudgetMs' | 'answer' | 'cachedTokens' | 'isOneCall'>;

const toPlainNeeds = ({exclude}: PlainRequest): Needs => ({
	wanted: {
		model: undefined, version: undefined, adapter: undefined, exclude,
	},
	promptTokens: 0,
	kvBytes: 0,
	firstTokenBudgetMs: Infinity,
	answer: {tokens: 0, perTokenTargetMs: 0},
	cachedTokens: new Map(),
	isOneCall: false,
});

/**
 * Creates the placement of one host.
 *
 * @param options - Zone of the host and tuning; see {@link PlacementOptions}.
 * @returns `pick` and `pickPlain`, which choose servers, and the `note…` functions, which record the outcomes that later picks learn from.
 *
 * @example
 * const placement = createPlacement({zone: 'dvorana-a'});
 * const picked = placement.pick(request, view, now, random);
 * if (picked.isOk()) {
 * 	placement.noteDispatched(picked.value, now);
 * }
 */
export const createPlacement = (options: PlacementOptions & {health?: ServerHealthOptions}) => {
	const {zone} = options;
	const draws = options.draws ?? defaultDraws;
	const staleAfterMs = options.staleAfterMs ?? defaultStaleAfterMs;
	const tokensPerBlock = options.tokensPerBlock ?? defaultTokensPerBlock;
	const learned: LearnedValues = {kvBytesPerToken: options.kvBytesPerToken ?? defaultKvBytesPerToken, holdMs: defaultHoldMs};
	const loads = createLoadEstimate({staleAfterMs});
	const prefixes = createPrefixMap({maxBlocks: options.maxPrefixBlocks});
	const health = createServerHealth(options.health);
	const tokenLatency = createInterTokenLatency();
	const lengths = createAnswerLengths();
	const subsets = createSubsets({zone, host: options.host});
	const cooldowns = createServerCooldowns({zone, ...(options.isZoneSilent && {isZoneSilent: options.isZoneSilent})});
	const prefillThroughput = createPrefillThroughput();
	const split = createSplitEstimate();
	const keepVersion = createVersionFilter();
	let index: PoolIndex | undefined;
	let indexKey = '';

	const toSubject = (entry: ServerEntry) => ({
		server: entry.id,
		group: `${entry.pool}/${entry.role}`,
		groupSize: index?.pools.get(entry.pool)?.[entry.role].all.length ?? 1,
	});
	const eligibility = createEligibility({
		zone, health, toSubject, staleAfterMs,
	});

	/** Indexes the servers of the accepted configuration, once for each configuration. */
	const toIndex = (view: FleetView): PoolIndex | undefined => {
		if (view.accepted === undefined) {
			return undefined;
		}

		const {edition, revision, digest} = view.accepted.version;
		const key = `${edition}/${revision}/${digest}`;
		if (index === undefined || key !== indexKey) {
			const next = toPoolIndex(view.accepted.config, zone, options.regionOf);
			for (const server of [...loads.servers(), ...health.servers(), ...tokenLatency.servers()].filter(id => !next.servers.has(id))) {
				loads.forget(server);
				health.forget(server);
				eligibility.forget(server);
				prefixes.forget(server);
				tokenLatency.forget(server);
				prefillThroughput.forget(server);
			}

			cooldowns.keepOnly(next.servers);
			lengths.keepOnly(new Set(next.pools.keys()));
			split.keepOnly(new Set(next.pools.keys()));

			index = next;
			indexKey = key;
		}

		return index;
	};

	const spills = createSpillChooser({zone, rampMs: options.health?.rampMs, rampFrom: options.health?.rampFrom});
	const pairs = createPairSearch({
		zone, draws, crossZoneMs: options.crossZoneMs ?? defaultCrossZoneMs, loads, eligibility, tokenLatency, subsets, spills, cooldowns,
	});

	const findUnreported = createUnreportedSearch({
		zone, loads, eligibility, cooldowns, prefillThroughput, readPeerLoad: options.readPeerLoad ?? readNoPeerLoad,
	});

	const toModelNeeds = (request: PlacementRequest): Needs => {
		const {pool, model, version, adapter, exclude, promptTokens, firstTokenBudgetMs} = request;
		const hits = [...prefixes.toHits(request.prefixBlocks ?? [])]
			.map(([server, blocks]): [ServerId, number] => [server, Math.min(promptTokens - 1, Math.floor(blocks * tokensPerBlock))]);
		return {
			wanted: {
				model, version, adapter, exclude,
			},
			promptTokens,
			kvBytes: promptTokens * learned.kvBytesPerToken,
			firstTokenBudgetMs,
			answer: {tokens: lengths.toExpected(pool, request.class, request.maxTokens), perTokenTargetMs: request.perTokenTargetMs ?? 0},
			cachedTokens: new Map(hits),
			isOneCall: request.isOneCall ?? false,
		};
	};

	const toSearch = (request: PlacementRequest | PlainRequest, view: FleetView, now: Milliseconds, random: Random): Search | undefined => {
		const pools = toIndex(view);
		const ofPool = pools?.pools.get(request.pool);
		if (pools === undefined || ofPool === undefined) {
			return undefined;
		}

		const servers = keepVersion(ofPool, request.origin);
		eligibility.sweep(view, pools.servers, now);
		subsets.refresh(view, now);
		spills.update(view, eligibility.partitionedZones(), now);
		return {
			...('model' in request ? toModelNeeds(request) : toPlainNeeds(request)),
			pool: request.pool,
			servers,
			entries: pools.servers,
			view,
			now,
			random,
			findings: {
				full: false, healthyFull: false, soft: false, unreachable: false, neverReported: false,
			},
		};
	};

	/** Time until the first paused or limited server may be called again, milliseconds; `undefined` when there is none. */
	const toShortestWait = (roles: readonly RoleServers[], toRemainingMs: (server: ServerId) => Milliseconds): Milliseconds | undefined => {
		const waits = roles.flatMap(({all}) => all.map(({id}) => toRemainingMs(id))).filter(ms => ms > 0);
		return waits.length === 0 ? undefined : Math.min(...waits);
	};

	/** Refusal when no server was found; the reason is memory if a server was passed over only because it was full. */
	const toNothingFound = (search: Search, roles: readonly RoleServers[]): PlacementRefusal => {
		const {pool} = search;
		const account = () => pairs.toAccount(search, roles, []);
		const pauseMs = search.findings.full ? undefined : toShortestWait(roles, id => eligibility.toRemainingPauseMs(id, search.now));
		if (pauseMs !== undefined) {
			return toRefusal('paused', `the suitable servers of pool ${pool} have asked to back off`, pauseMs, account);
		}

		const limitedMs = search.findings.full ? undefined : toShortestWait(roles, id => eligibility.toRemainingLimitMs(id, search.now));
		if (limitedMs !== undefined) {
			return toRefusal('limited', `the suitable servers of pool ${pool} have got as many requests as the limit that they state allows`, limitedMs, account);
		}

		if (!search.findings.full) {
			return toRefusal('no-server', `no server of pool ${pool} in service meets the request's requirements; the account gives the reason for each server`, noServerRetryAfterMs, account);
		}

		let slots = 1;
		for (const entry of search.servers.decode.local) {
			slots += entry.slots;
		}

		return toRefusal('no-memory', `every suitable server of pool ${pool} is full`, learned.holdMs * 2 / slots, account);
	};

	const toPlacement = (request: PlacementRequest, pair: Pair, account: () => PlacementAccount): Placement => ({
		kind: 'pair',
		prefill: pair.prefill.entry,
		decode: pair.decode.entry,
		version: pair.prefill.version ?? pair.decode.version ?? request.version,
		promptTokens: request.promptTokens,
		prefixBlocks: request.prefixBlocks ?? [],
		expectedCachedTokens: pair.prefill.cachedTokens,
		predictedPrefillMs: pair.predictedPrefillMs,
		predictedFirstTokenMs: pair.predictedFirstTokenMs,
		predictedStepMs: pair.decode.stepMs,
		maxTokens: request.maxTokens,
		class: request.class,
		reservationTtlMs: Math.ceil((pair.predictedFirstTokenMs * ttlFactor) + ttlMarginMs),
		account,
	});

	const pick: PickPair = (request, view, now, random) => {
		const search = toSearch(request, view, now, random);
		if (search === undefined) {
			return err(toLookupRefusal(view, request.pool));
		}

		const {prefill, decode} = search.servers;
		const isUnreported = search.servers.pool.isUnreported === true;
		const pair = isUnreported ? findUnreported(search) : pairs.findPair(search);
		if (pair === undefined) {
			return err(toNothingFound(search, [prefill, decode]));
		}

		const account = () => pairs.toAccount(search, [prefill, decode], [pair.prefill.entry.id, pair.decode.entry.id]);
		const lateMs = pair.predictedFirstTokenMs - request.firstTokenBudgetMs;
		// Without load reports the prediction rests on this host's counts alone, which is too rough to refuse a request.
		if (lateMs > 0 && !isUnreported) {
			const message = `the first token is predicted after ${Math.round(pair.predictedFirstTokenMs)} ms, over the ${Math.round(request.firstTokenBudgetMs)} ms left`;
			return err(toRefusal('would-miss-target', message, lateMs, account));
		}

		return ok(toPlacement(request, pair, account));
	};

	const pickPlain: PickPlain = (request, view, now, random) => {
		const search = toSearch(request, view, now, random);
		if (search === undefined) {
			return err(toLookupRefusal(view, request.pool));
		}

		const roles = [search.servers.plain];
		const best = pairs.findPlain(search);
		return best === undefined
			? err(toNothingFound(search, roles))
			: ok({
				kind: 'plain', server: best.entry, cooldown: cooldowns.toLevel(best.entry, now), account: () => pairs.toAccount(search, roles, [best.entry.id]),
			});
	};

	/** Servers of a pool that generate answers; each of them can also compute a prompt. */
	const toAnswering = ({plain, decode}: PoolServers): readonly ServerEntry[] => [...plain.all, ...decode.all];

	return {
		pick,
		pickPlain,
		/** Whether every answering server of some pool is in cooldown, or is in a zone in cooldown. */
		isAnyPoolSuspect(view: FleetView, now: Milliseconds): boolean {
			const pools = [...toIndex(view)?.pools.values() ?? []].map(pool => toAnswering(pool));
			return pools.some(servers => servers.length > 0 && servers.every(server => cooldowns.toLevel(server, now) > 0));
		},
		/** Share of a pool's servers that should do prefill, from the costs that this host measured; `undefined` while there are too few samples. */
		toPrefillShare({name, memoryTokens}: PoolEntry, servers: readonly ServerEntry[]): number | undefined {
			const slots = Math.min(...servers.map(server => server.slots));
			return split.toPrefillShare(name, {slots, memoryTokens});
		},
		/** Records that a server asks this host to back off; returns whether the server was not paused before. */
		notePause: eligibility.notePause,
		isPaused: (server: ServerId, now: Milliseconds): boolean => eligibility.toRemainingPauseMs(server, now) > 0,
		/** Passes a server over for a time, because of the limit that it states. */
		noteLimited: eligibility.noteLimited,
		/** In-flight load of this host at each server. */
		ownLoads: loads.ownLoads,
		...createFeedback({
			loads,
			health,
			eligibility,
			prefixes,
			tokenLatency,
			prefillThroughput,
			split,
			readPeerLoad: options.readPeerLoad ?? readNoPeerLoad,
			lengths,
			learned,
			tokensPerBlock,
			toSubject,
			cooldowns,
			noteSent: spills.noteSent,
		}),
	};
};

export type PlacementDecider = ReturnType<typeof createPlacement>;
