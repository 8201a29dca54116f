/** Searches for the best pair of servers in widening steps, and explains why servers were passed over. */
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

/** Share of the first-token budget within which a pair is taken without widening the search. */
const localShare = 0.5;

/** A pair of another zone must have a delay below this share of the own zone's; otherwise small differences would make load oscillate between zones. */
const spillGain = 0.75;

const isWithin = (limitMs: Milliseconds, pair: Pair | undefined): boolean => pair !== undefined && pair.delayMs <= limitMs;

/** Whether the pair of another zone is clearly better than the own zone's. */
const isBetter = (outside: Pair | undefined, local: Pair | undefined, search: Search): boolean => {
	if (outside === undefined || local === undefined) {
		return outside !== undefined;
	}

	// Faster tokens don't justify a late first token, for which the request would be refused.
	const isInTime = outside.predictedFirstTokenMs <= Math.max(search.firstTokenBudgetMs, local.predictedFirstTokenMs);
	return isInTime && outside.delayMs < local.delayMs * spillGain;
};

/**
 * Creates the search.
 *
 * @param options - Zone of this host, sample size, and the records of servers.
 * @returns Functions that find servers for a search.
 */
export const createPairSearch = (options: PairSearchOptions) => {
	const {zone, draws, crossZoneMs} = options;
	const candidates = createCandidates(options);
	const roleDraw = createRoleDraw(options, candidates);

	/** Finds the best pair among the servers sampled in one step. */
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

	/** Searches the whole own zone, after a sample of it gave `drawn`. */
	const searchOwnZone = (search: Search, drawn: Pair | undefined): Pair | undefined => {
		// With a full server in the zone, the first sample has already scanned the whole zone; a second scan would find no more.
		const isZoneSearched = drawn === undefined && search.findings.full;
		return isZoneSearched ? undefined : searchPair(search, {local: Infinity, nearby: 0}) ?? drawn;
	};

	/**
	 * Searches the servers of the own zone that have never reported. Just after a
	 * start this host has no reports of its own zone, but summaries of other zones
	 * from its neighbours. Without this step all its requests would go to other
	 * zones, although a server is no better for having reported.
	 */
	const searchNeverReported = (search: Search): Pair | undefined =>
		search.findings.neverReported ? searchPair(search, {local: draws, nearby: 0, acceptsNeverReported: true}) : undefined;

	const searchRelaxed = (search: Search, widest: Scope): Pair | undefined =>
		search.findings.soft ? searchPair(search, {...widest, acceptsSoftReasons: true}) : undefined;

	/**
	 * Searches unreachable and ejected servers, when no others are left. The reports
	 * may be wrong or old, and the request would be refused without need. A server
	 * that is really gone costs one failed call; the request is then refused as it
	 * would have been without the call.
	 */
	const searchLastResort = (search: Search, widest: Scope): Pair | undefined =>
		search.findings.unreachable && !search.findings.full ? searchPair(search, {...widest, acceptsSoftReasons: true, isLastResort: true}) : undefined;

	/** Widens the search step by step until a pair is good enough. */
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
		/** Builds the account of a search for servers of `roles` that chose the servers `chosen`. */
		toAccount: (search: Search, roles: readonly RoleServers[], chosen: readonly ServerId[]): PlacementAccount =>
			toAccount(search.pool, roles, chosen, entry => candidates.toPassedOver(entry, search)),
	};
};
