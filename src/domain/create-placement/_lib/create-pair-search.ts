/** Looks for the best pair, step by step wider, and says why servers were passed over. */
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type ServerId, type ZoneId} from '../../../ports/ids.js';
import {type FleetView} from '../../../ports/view.js';
import {type LoadEstimate, type ServerLoad} from '../../create-load-estimate/index.js';
import {type SpillChoice, type SpillChooser} from '../../create-spill-chooser/index.js';
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
	/** The one other zone to draw from, whose summary stands in for loads that are not known; any of the region if absent. */
	zone?: ZoneId;
	crossZoneMs?: Milliseconds;
	isLax: boolean;
	/** Servers that can't be reached or were ejected count as doubtful ones: all others are out, and none of them is just full. */
	isLastResort?: boolean;
	/** Servers count that have never reported, as none has to a host that just started. */
	takesUnheard?: boolean;
};

type Looseness = Pick<Scope, 'isLax' | 'isLastResort' | 'takesUnheard' | 'zone'>;

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
	met: {full: boolean; soft: boolean; lost: boolean; unheard: boolean};
};

export type PairSearchOptions = {
	zone: ZoneId;
	draws: number;
	crossZoneMs: Milliseconds;
	loads: LoadEstimate;
	standing: Standing;
	pace: TokenPace;
	subsets: Subsets;
	spills: SpillChooser;
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

/** Zones that are tried by their summaries when the first turns out to have no server that will do. */
const spillTries = 2;

/** Milliseconds added for each server of another region. */
const crossRegionMs = 40;

const isFull = (entry: ServerEntry, load: ServerLoad): boolean => entry.role !== 'prefill' && load.slotsUsed >= load.slotsTotal;

/**
 * @param options - Zone of this host, draws, and the records that tell of servers.
 * @returns Functions that find servers for a search.
 */
export const createPairSearch = ({zone, draws, crossZoneMs, loads, standing, pace, subsets, spills}: PairSearchOptions) => {
	const slowness = createSlowness();

	const readLoad = (entry: ServerEntry, {view, now}: Search): ServerLoad =>
		spills.fill(entry, loads.read(entry, view.servers.get(entry.id), now), view, now);

	const toSlow = (entry: ServerEntry, load: ServerLoad, search: Search): Pick<Candidate, 'stepMs' | 'slowMs'> =>
		entry.role === 'decode'
			? slowness.read(entry, load, {
				pace, readLoad: other => readLoad(other, search), now: search.now, role: search.servers.decode, answer: search.answer,
			})
			: {stepMs: 0, slowMs: 0};

	/** Whether the search may consider the server; it notes what it met. */
	const isTaken = (entry: ServerEntry, search: Search, {isLax, isLastResort = false, takesUnheard = false, zone: summarised}: Looseness): boolean => {
		const reason = standing.toReason(entry, isLastResort ? {...search, isLastResort} : search, search.random());
		if (reason === undefined || (reason === 'unknown-load' && entry.zone === summarised)) {
			return true;
		}

		const isUnheard = reason === 'unknown-load' && search.view.servers.get(entry.id)?.load === undefined;
		search.met.unheard ||= isUnheard;
		search.met.lost ||= reason === 'unreachable' || reason === 'ejected';
		search.met.soft ||= isSoft(reason);
		return (isLax && isSoft(reason)) || (takesUnheard && isUnheard);
	};

	const toCandidate = (entry: ServerEntry, search: Search, looseness: Looseness): Candidate | undefined => {
		if (!isTaken(entry, search, looseness)) {
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
		const others = scope.zone === undefined ? role.nearby : role.byZone.get(scope.zone) ?? [];
		return [...own, ...draw(role.local, scope.local, toOther, search.random), ...draw(others, scope.nearby, toValue, search.random)];
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
		const holders = scope.local > 0 ? toHolders(search, prefills) : [];
		return toBestPair([...prefills, ...holders], decodes, {
			promptTokens: search.promptTokens, kvBytes: search.kvBytes, zone, crossZoneMs: scope.crossZoneMs ?? crossZoneMs,
		});
	};

	const chooseZone = (search: Search, except: ReadonlySet<ZoneId>): SpillChoice => spills.choose({
		pool: search.pool, zones: search.servers.otherZones, view: search.view, now: search.now, random: search.random, waitLimitMs: search.firstTokenBudgetMs, except,
	});

	/** Where servers of other zones are drawn; a pair of another region stays together there, as a cache had too far to go. */
	const toSpillScope = (choice: SpillChoice): Omit<Scope, 'isLax'> => {
		if (choice.kind !== 'zone') {
			return {local: draws, nearby: choice.kind === 'blind' ? regionDraws : 0};
		}

		const {zone: chosen, isFar} = choice;
		return isFar
			? {
				local: 0, nearby: regionDraws, zone: chosen, crossZoneMs: crossRegionMs,
			}
			: {local: draws, nearby: regionDraws, zone: chosen};
	};

	const toLaxScope = (choice: SpillChoice): Omit<Scope, 'isLax'> => {
		const isFar = choice.kind === 'zone' && choice.isFar;
		return isFar ? {local: Infinity, nearby: 0} : {...toSpillScope(choice), local: Infinity};
	};

	const hasNear = ({servers}: Search): boolean => servers.otherZones.some(({distance}) => distance === 0);

	/** The best pair with servers of another zone, and how that zone was chosen. */
	const searchOutside = (search: Search): {outside: Pair | undefined; choice: SpillChoice} => {
		const tried = new Set<ZoneId>();
		for (;;) {
			const choice = chooseZone(search, tried);
			const isBlindAlley = choice.kind === 'none' || (choice.kind === 'blind' && !hasNear(search));
			const outside = isBlindAlley ? undefined : searchPair(search, {...toSpillScope(choice), isLax: false});
			if (choice.kind !== 'zone' || outside !== undefined) {
				// Zones without room by their summaries are full, not missing.
				search.met.full ||= choice.kind === 'none';
				return {outside, choice};
			}

			tried.add(choice.zone);
			if (tried.size >= spillTries) {
				return {outside, choice};
			}
		}
	};

	const isBetter = (outside: Pair | undefined, local: Pair | undefined, search: Search): boolean => {
		if (outside === undefined || local === undefined) {
			return outside !== undefined;
		}

		// Quicker tokens are no reason to miss the first one, which would be refused.
		const isInTime = outside.predictedFirstTokenMs <= Math.max(search.firstTokenBudgetMs, local.predictedFirstTokenMs);
		return isInTime && outside.delayMs < local.delayMs * spillGain;
	};

	/** The best pair, with servers of other zones if that is clearly better than `local`. */
	const spill = (search: Search, local: Pair | undefined): Pair | undefined => {
		const {outside, choice} = searchOutside(search);
		const best = isBetter(outside, local, search) ? outside : local;
		if (best !== undefined) {
			return best;
		}

		const all = {...toLaxScope(choice), isLax: true};
		const lax = search.met.soft ? searchPair(search, all) : undefined;
		// Where all that is left looks bad, the word of it may be wrong or old, and a refusal for it needless.
		return lax === undefined && search.met.lost && !search.met.full ? searchPair(search, {...all, isLastResort: true}) : lax;
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

		// Just after a start nothing has been heard of the own zone, and of others what their hosts tell: that makes their servers no better.
		const unheard = local === undefined && search.met.unheard
			? searchPair(search, {
				local: draws, nearby: 0, isLax: false, takesUnheard: true,
			})
			: undefined;
		return unheard !== undefined && unheard.delayMs <= keepMs ? unheard : spill(search, local);
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
