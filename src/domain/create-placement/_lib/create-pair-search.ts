/** Looks for the best pair of servers, step by step wider, and says why servers were passed over. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ServerId} from '../../../ports/ids.js';
import {createCandidates} from './create-candidates.js';
import {createPlainSearch} from './create-plain-search.js';
import {createRoleDraw} from './create-role-draw.js';
import {createSpillSearch} from './create-spill-search.js';
import {type PairSearchOptions, type Scope, type Search} from './search-types.js';
import {toAccount} from './to-account.js';
import {type Pair, toBestPair} from './to-best-pair.js';
import {type RoleServers} from './to-pool-index.js';
import {type PlacementAccount} from './types.js';

/** Share of the first token's budget up to which the own zone is kept to without a look at others. */
const localShare = 0.5;

/** Another zone must promise this much less than the own one, or small differences would send load to and fro. */
const spillGain = 0.75;

const isWithin = (limitMs: Milliseconds, pair: Pair | undefined): boolean => pair !== undefined && pair.delayMs <= limitMs;

/** Whether the pair of another zone is clearly better than the own zone's. */
const isBetter = (outside: Pair | undefined, local: Pair | undefined, search: Search): boolean => {
	if (outside === undefined || local === undefined) {
		return outside !== undefined;
	}

	// Quicker tokens are no reason to miss the first one, which would be refused.
	const isInTime = outside.predictedFirstTokenMs <= Math.max(search.firstTokenBudgetMs, local.predictedFirstTokenMs);
	return isInTime && outside.delayMs < local.delayMs * spillGain;
};

/**
 * @param options - Zone of this host, draws, and the records that tell of servers.
 * @returns Functions that find servers for a search.
 */
export const createPairSearch = (options: PairSearchOptions) => {
	const {zone, draws, crossZoneMs} = options;
	const candidates = createCandidates(options);
	const roleDraw = createRoleDraw(options, candidates);

	/** The best pair among the servers drawn in one step. */
	const searchPair = (search: Search, scope: Scope): Pair | undefined => {
		const decodes = roleDraw.drawRole(search.servers.decode, search, scope);
		if (decodes.length === 0) {
			return undefined;
		}

		const prefills = roleDraw.drawRole(search.servers.prefill, search, scope);
		const holders = scope.local > 0 ? roleDraw.toHolders(search, prefills) : [];
		return toBestPair([...prefills, ...holders], decodes, {
			promptTokens: search.promptTokens, kvBytes: search.kvBytes, zone, crossZoneMs: scope.crossZoneMs ?? crossZoneMs,
		});
	};

	const {searchOutside, toWidestScope} = createSpillSearch({...options, searchPair});

	/** All of the own zone, after a draw from it that gave `drawn`. */
	const searchOwnZone = (search: Search, drawn: Pair | undefined): Pair | undefined => {
		// A full server has made the first draw walk the whole zone already; a second walk would find no more.
		const isZoneSearched = drawn === undefined && search.findings.full;
		return isZoneSearched ? undefined : searchPair(search, {local: Infinity, nearby: 0}) ?? drawn;
	};

	/**
	 * Just after a start this host has no report of its own zone's servers, but
	 * its neighbours' summaries of other zones. Taken as better known, those would
	 * draw all its requests away; having reported makes a server no better.
	 */
	const searchNeverReported = (search: Search): Pair | undefined =>
		search.findings.neverReported ? searchPair(search, {local: draws, nearby: 0, acceptsNeverReported: true}) : undefined;

	const searchRelaxed = (search: Search, widest: Scope): Pair | undefined =>
		search.findings.soft ? searchPair(search, {...widest, acceptsSoftReasons: true}) : undefined;

	/**
	 * Where all that is left can't be reached or was ejected, these reports may be
	 * wrong or old, and a refusal for them needless. A server that is really gone
	 * costs one failed call, after which the request is refused as it would have been.
	 */
	const searchLastResort = (search: Search, widest: Scope): Pair | undefined =>
		search.findings.unreachable && !search.findings.full ? searchPair(search, {...widest, acceptsSoftReasons: true, isLastResort: true}) : undefined;

	/** Looks wider step by step, until a pair will do. */
	const findPair = (search: Search): Pair | undefined => {
		const limitMs = search.firstTokenBudgetMs * localShare;
		const drawn = searchPair(search, {local: draws, nearby: 0});
		if (isWithin(limitMs, drawn)) {
			return drawn;
		}

		const local = searchOwnZone(search, drawn);
		if (isWithin(limitMs, local)) {
			return local;
		}

		const neverReported = local === undefined ? searchNeverReported(search) : undefined;
		if (isWithin(limitMs, neverReported)) {
			return neverReported;
		}

		const {outside, choice} = searchOutside(search);
		const best = isBetter(outside, local, search) ? outside : local;
		if (best !== undefined) {
			return best;
		}

		const widest = toWidestScope(choice);
		return searchRelaxed(search, widest) ?? searchLastResort(search, widest);
	};

	return {
		findPair,
		findPlain: createPlainSearch(options, roleDraw),
		/** Account of a search for servers of `roles` that took the servers `chosen`. */
		toAccount: (search: Search, roles: readonly RoleServers[], chosen: readonly ServerId[]): PlacementAccount =>
			toAccount(search.pool, roles, chosen, entry => candidates.toPassedOver(entry, search)),
	};
};
