/** Searches for a pair with servers of another zone, chosen by the zones' summaries. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ZoneId} from '../../../ports/ids.js';
import {type SpillChoice} from '../../create-spill-chooser/index.js';
import {type PairSearchOptions, type Scope, type Search} from './search-types.js';
import {type Pair} from './to-best-pair.js';

/** Number of servers sampled outside the own zone for each role. */
export const regionDraws = 8;

/** Maximum number of zones tried, if the first one has no suitable server in spite of its summary. */
const maxSpillTries = 2;

/** Milliseconds added for each server of another region. */
const crossRegionMs: Milliseconds = 40;

export type SpillSearchOptions = Pick<PairSearchOptions, 'draws' | 'spills'> & {
	searchPair: (search: Search, scope: Scope) => Pair | undefined;
};

const isFar = (choice: SpillChoice): boolean => choice.kind === 'zone' && choice.isFar;

const hasNearZone = ({servers}: Search): boolean => servers.otherZones.some(({distance}) => distance === 0);

/** Whether sampling servers of other zones is pointless. */
const isWorthless = (choice: SpillChoice, search: Search): boolean =>
	choice.kind === 'none' || (choice.kind === 'blind' && !hasNearZone(search));

/** Where servers of other zones are sampled; both servers of a pair are in the same region, as a KV cache would take too long between regions. */
const toSpillScope = (choice: SpillChoice, draws: number): Scope => {
	if (choice.kind !== 'zone') {
		return {local: draws, nearby: choice.kind === 'blind' ? regionDraws : 0};
	}

	const {zone} = choice;
	return isFar(choice)
		? {
			local: 0, nearby: regionDraws, zone, crossZoneMs: crossRegionMs,
		}
		: {local: draws, nearby: regionDraws, zone};
};

/**
 * Creates the steps of a search that leave the own zone.
 *
 * @param options - Sample size in the own zone, the chooser of zones, and the search of one step.
 * @returns Functions for these steps.
 */
export const createSpillSearch = ({draws, spills, searchPair}: SpillSearchOptions) => {
	const chooseZone = (search: Search, except: ReadonlySet<ZoneId>): SpillChoice => spills.choose({
		pool: search.pool, zones: search.servers.otherZones, view: search.view, now: search.now, random: search.random, waitLimitMs: search.firstTokenBudgetMs, excluded: except,
	});

	return {
		/** @returns The best pair with servers of another zone, and how that zone was chosen. */
		searchOutside(search: Search): {outside: Pair | undefined; choice: SpillChoice} {
			const tried = new Set<ZoneId>();
			for (;;) {
				const choice = chooseZone(search, tried);
				const outside = isWorthless(choice, search) ? undefined : searchPair(search, toSpillScope(choice, draws));
				if (choice.kind !== 'zone' || outside !== undefined) {
					// If the summaries say that no zone has room, the zones are full, not missing.
					search.findings.full ||= choice.kind === 'none';
					return {outside, choice};
				}

				tried.add(choice.zone);
				if (tried.size >= maxSpillTries) {
					return {outside, choice};
				}
			}
		},
		/** @returns A scope with all servers of the own zone and the same sample of other zones; none of another region, as pairs don't span regions. */
		toWidestScope: (choice: SpillChoice): Scope =>
			isFar(choice) ? {local: Infinity, nearby: 0} : {...toSpillScope(choice, draws), local: Infinity},
	};
};
