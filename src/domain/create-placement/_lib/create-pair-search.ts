/** Looks for the best pair, step by step wider, and says why servers were passed over. */
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';
import {type LoadEstimate, type ServerLoad} from '../../create-load-estimate/index.js';
import {type TokenPace} from '../../create-token-pace/index.js';
import {createSlowness} from './create-slowness.js';
import {isSoft, type Standing, type Wanted} from './create-standing.js';
import {type Subsets} from './create-subsets.js';
import {draw} from './draw.js';
import {toAccount} from './to-account.js';
import {type Candidate, type Pair, toBestPair} from './to-best-pair.js';
import {type PoolServers, type RoleServers} from './to-pool-index.js';
import {type PassedOverReason, type PlacementAccount} from './types.js';

/** One step of a search: how many servers of each kind are drawn, and whether doubtful ones count. */
export type Scope = {
	local: number;
	nearby: number;
	isLax: boolean;
	/** Servers that can't be reached or were ejected count as doubtful ones: all others are out, and none of them is just full. */
	isLastResort?: boolean;
};

export type Search = {
	pool: string;
	servers: PoolServers;
	entries: ReadonlyMap<ServerId, ServerEntry>;
	wanted: Wanted;
	promptTokens: number;
	kvBytes: number;
	firstTokenBudgetMs: Milliseconds;
	/** Answer tokens expected, and the target between two. */
	answer: {tokens: number; perTokenTargetMs: Milliseconds};
	/** Prompt tokens expected in the prefix cache of each server that has any. */
	cachedTokens: ReadonlyMap<ServerId, number>;
	view: FleetView;
	now: Milliseconds;
	random: Random;
	/** What the search has met so far. */
	met: {full: boolean; soft: boolean; lost: boolean};
};

export type PairSearchOptions = {
	zone: ZoneId;
	draws: number;
	crossZoneMs: Milliseconds;
	loads: LoadEstimate;
	standing: Standing;
	pace: TokenPace;
	subsets: Subsets;
};

/** Servers of the own subset that are looked at for each role. */
const subsetDraws = 4;

/**
 * What speaks against a server outside the own subset, milliseconds: about the
 * time that prompts of other hosts, sent since its last report, take in a
 * prefill queue; on a decode server the pressure of a full one, so that the
 * own subset is filled first.
 */
const unseenMs = {prefill: 300, decode: 100, plain: 0};

/** Servers drawn in the region for each role once the own zone does not do. */
const regionDraws = 8;

/** Holders of the prompt's prefix that are looked at beside those drawn. */
const maxPrefixHolders = 4;

/** Share of the first token's budget up to which the own zone is kept to without a look at others. */
const localShare = 0.5;

/** Another zone must promise this much less than the own one, or small differences would send load to and fro. */
const spillGain = 0.75;

const isFull = (entry: ServerEntry, load: ServerLoad): boolean => entry.role !== 'prefill' && load.slotsUsed >= load.slotsTotal;

/**
 * @param options - Zone of this host, draws, and the records that tell of servers.
 * @returns Functions that find servers for a search.
 */
export const createPairSearch = ({zone, draws, crossZoneMs, loads, standing, pace, subsets}: PairSearchOptions) => {
	const slowness = createSlowness();

	const readLoad = (entry: ServerEntry, {view, now}: Search): ServerLoad => loads.read(entry, view.servers.get(entry.id), now);

	const toSlow = (entry: ServerEntry, load: ServerLoad, search: Search): Pick<Candidate, 'stepMs' | 'slowMs'> =>
		entry.role === 'decode'
			? slowness.read(entry, load, {
				pace, readLoad: other => readLoad(other, search), now: search.now, role: search.servers.decode, answer: search.answer,
			})
			: {stepMs: 0, slowMs: 0};

	const toCandidate = (entry: ServerEntry, search: Search, {isLax, isLastResort = false}: Pick<Scope, 'isLax' | 'isLastResort'>): Candidate | undefined => {
		const reason = standing.toReason(entry, isLastResort ? {...search, isLastResort} : search, search.random());
		search.met.lost ||= reason === 'unreachable' || reason === 'ejected';
		if (reason !== undefined && isSoft(reason)) {
			search.met.soft = true;
		}

		if (reason !== undefined && !(isLax && isSoft(reason))) {
			return undefined;
		}

		const load = readLoad(entry, search);
		if (isFull(entry, load)) {
			search.met.full = true;
			return undefined;
		}

		return {
			entry,
			load,
			version: search.view.servers.get(entry.id)?.load?.version,
			cachedTokens: search.cachedTokens.get(entry.id) ?? 0,
			...toSlow(entry, load, search),
			unseenMs: subsets.read(search.servers[entry.role])?.has(entry) === false ? unseenMs[entry.role] : 0,
		};
	};

	const drawRole = (role: RoleServers, search: Search, scope: Scope): Candidate[] => {
		const toValue = (entry: ServerEntry) => toCandidate(entry, search, scope);
		const own = scope.local > 0 ? draw(subsets.read(role)?.servers ?? [], subsetDraws, toValue, search.random) : [];
		const toOther = (entry: ServerEntry) => own.some(candidate => candidate.entry === entry) ? undefined : toValue(entry);
		return [...own, ...draw(role.local, scope.local, toOther, search.random), ...draw(role.nearby, scope.nearby, toValue, search.random)];
	};

	/** Servers of the own zone that hold the prompt's prefix, deepest first. */
	const toHolders = (search: Search, drawn: readonly Candidate[]): Candidate[] => {
		if (search.cachedTokens.size === 0) {
			return [];
		}

		return [...search.cachedTokens]
			.toSorted((a, b) => b[1] - a[1])
			.map(([server]) => search.entries.get(server))
			.filter(entry => entry?.pool === search.pool && entry?.zone === zone && !drawn.some(candidate => candidate.entry === entry))
			.slice(0, maxPrefixHolders)
			.map(entry => entry && toCandidate(entry, search, {isLax: false}))
			.filter(candidate => candidate !== undefined);
	};

	const searchPair = (search: Search, scope: Scope): Pair | undefined => {
		const decodes = drawRole(search.servers.decode, search, scope);
		if (decodes.length === 0) {
			return undefined;
		}

		const prefills = drawRole(search.servers.prefill, search, scope);
		return toBestPair([...prefills, ...toHolders(search, prefills)], decodes, {
			promptTokens: search.promptTokens, kvBytes: search.kvBytes, zone, crossZoneMs,
		});
	};

	/** The best pair of the region, if there is one clearly better than `local`. */
	const spill = (search: Search, local: Pair | undefined): Pair | undefined => {
		if (search.servers.decode.nearby.length === 0 && search.servers.prefill.nearby.length === 0) {
			return undefined;
		}

		const region = searchPair(search, {local: draws, nearby: regionDraws, isLax: false});
		if (region === undefined || local === undefined) {
			return region;
		}

		// Quicker tokens are no reason to miss the first one, which would be refused.
		const isInTime = region.predictedFirstTokenMs <= Math.max(search.firstTokenBudgetMs, local.predictedFirstTokenMs);
		return isInTime && region.delayMs < local.delayMs * spillGain ? region : undefined;
	};

	/** Looks wider step by step, until a pair will do. */
	const findPair = (search: Search): Pair | undefined => {
		const keepMs = search.firstTokenBudgetMs * localShare;
		const first = searchPair(search, {local: draws, nearby: 0, isLax: false});
		if (first !== undefined && first.delayMs <= keepMs) {
			return first;
		}

		// A full server has made the first draw walk the whole zone already; a second walk would find no more.
		const isWalked = first === undefined && search.met.full;
		const local = isWalked ? undefined : searchPair(search, {local: Infinity, nearby: 0, isLax: false}) ?? first;
		if (local !== undefined && local.delayMs <= keepMs) {
			return local;
		}

		const best = spill(search, local) ?? local;
		if (best !== undefined) {
			return best;
		}

		const all = {local: Infinity, nearby: regionDraws, isLax: true};
		const lax = search.met.soft ? searchPair(search, all) : undefined;
		// Where all that is left looks bad, the word of it may be wrong or old, and a refusal for it needless.
		return lax === undefined && search.met.lost && !search.met.full ? searchPair(search, {...all, isLastResort: true}) : lax;
	};

	/** The least used of a few plain servers, of the own zone as long as one there has room. */
	const findPlain = (search: Search): Candidate | undefined => {
		const scopes: Scope[] = [
			{local: draws, nearby: 0, isLax: false},
			{local: 0, nearby: regionDraws, isLax: false},
			{local: Infinity, nearby: regionDraws, isLax: true},
		];
		for (const scope of scopes) {
			const [best] = drawRole(search.servers.plain, search, scope)
				.toSorted((a, b) => (a.load.own / a.load.slotsTotal) - (b.load.own / b.load.slotsTotal));
			if (best !== undefined) {
				return best;
			}
		}

		const [last] = search.met.lost && !search.met.full ? drawRole(search.servers.plain, search, {...scopes.at(-1)!, isLastResort: true}) : [];
		return last;
	};

	/** Why a server was not taken; worked out after the fact, for a person who asks. */
	const toPassedOver = (entry: ServerEntry, search: Search): PassedOverReason => {
		const reason = standing.toReason(entry, search, 0);
		if (reason !== undefined) {
			return reason;
		}

		const load = readLoad(entry, search);
		if (isFull(entry, load)) {
			return 'full';
		}

		if (toSlow(entry, load, search).slowMs > 0) {
			return 'slow';
		}

		return entry.zone === zone ? 'worse' : 'other-zone';
	};

	return {
		findPair,
		findPlain,
		/** Account of a search for servers of `roles` that took the servers `chosen`. */
		toAccount: (search: Search, roles: readonly RoleServers[], chosen: readonly ServerId[]): PlacementAccount =>
			toAccount(search.pool, roles, chosen, entry => toPassedOver(entry, search)),
	};
};
