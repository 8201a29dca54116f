/** Looks for a pair with servers of another zone, chosen by the zones' summaries. */
import {type Milliseconds} from '../../../ports/clock.js';
import {type ZoneId} from '../../../ports/ids.js';
import {type SpillChoice} from '../../create-spill-chooser/index.js';
import {type PairSearchOptions, type Scope, type Search} from './search-types.js';
import {type Pair} from './to-best-pair.js';

/** Servers drawn outside the own zone for each role. */
export const regionDraws = 8;

/** Zones that are tried by their summaries when the first turns out to have no server that will do. */
const maxSpillTries = 2;

/** Milliseconds added for each server of another region. */
const crossRegionMs: Milliseconds = 40;

export type SpillSearchOptions = Pick<PairSearchOptions, 'draws' | 'spills'> & {
	searchPair: (search: Search, scope: Scope) => Pair | undefined;
};

const isFar = (choice: SpillChoice): boolean => choice.kind === 'zone' && choice.isFar;

const hasNearZone = ({servers}: Search): boolean => servers.otherZones.some(({distance}) => distance === 0);

/** Whether no other zone is worth a draw. */
const isWorthless = (choice: SpillChoice, search: Search): boolean =>
	choice.kind === 'none' || (choice.kind === 'blind' && !hasNearZone(search));

/** Where servers of other zones are drawn; a pair of another region stays together there, as a cache had too far to go. */
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
 * @param options - Draws in the own zone, chooser of zones, and the search of one step.
 * @returns Functions for the steps of a search that leave the own zone.
 */
export const createSpillSearch = ({draws, spills, searchPair}: SpillSearchOptions) => {
	const chooseZone = (search: Search, except: ReadonlySet<ZoneId>): SpillChoice => spills.choose({
		pool: search.pool, zones: search.servers.otherZones, view: search.view, now: search.now, random: search.random, waitLimitMs: search.firstTokenBudgetMs, except,
	});

	return {
		/** @returns The best pair with servers of another zone, and how that zone was chosen. */
		searchOutside(search: Search): {outside: Pair | undefined; choice: SpillChoice} {
			const tried = new Set<ZoneId>();
			for (;;) {
				const choice = chooseZone(search, tried);
				const outside = isWorthless(choice, search) ? undefined : searchPair(search, toSpillScope(choice, draws));
				if (choice.kind !== 'zone' || outside !== undefined) {
					// Zones without room by their summaries are full, not missing.
					search.findings.full ||= choice.kind === 'none';
					return {outside, choice};
				}

				tried.add(choice.zone);
				if (tried.size >= maxSpillTries) {
					return {outside, choice};
				}
			}
		},
		/** @returns All of the own zone, and of other zones what was drawn before; of another region nothing, as pairs don't span regions. */
		toWidestScope: (choice: SpillChoice): Scope =>
			isFar(choice) ? {local: Infinity, nearby: 0} : {...toSpillScope(choice, draws), local: Infinity},
	};
};
