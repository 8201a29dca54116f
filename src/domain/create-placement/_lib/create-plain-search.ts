import {regionDraws} from './create-spill-search.js';
import {type RoleDraw} from './create-role-draw.js';
import {type PairSearchOptions, type Scope, type Search} from './search-types.js';
import {type Candidate} from './to-best-pair.js';

const pickLeastUsed = (candidates: readonly Candidate[]): Candidate | undefined =>
	candidates.toSorted((a, b) => (a.load.own / a.load.slotsTotal) - (b.load.own / b.load.slotsTotal))[0];

/**
 * @param options - Servers drawn in the own zone.
 * @param roleDraw - Draws candidates.
 * @returns A function that finds the least used of a few plain servers, of the own zone as long as one there has room.
 */
export const createPlainSearch = ({draws}: Pick<PairSearchOptions, 'draws'>, {drawRole}: RoleDraw) => {
	const ownZone: Scope = {local: draws, nearby: 0};
	const region: Scope = {local: 0, nearby: regionDraws};
	const lax: Scope = {local: Infinity, nearby: regionDraws, isLax: true};
	const lastResort: Scope = {...lax, isLastResort: true};

	return (search: Search): Candidate | undefined => {
		const pick = (scope: Scope) => pickLeastUsed(drawRole(search.servers.plain, search, scope));
		const found = pick(ownZone) ?? pick(region) ?? pick(lax);
		const isLastResort = found === undefined && search.met.lost && !search.met.full;
		return isLastResort ? pick(lastResort) : found;
	};
};
