import {type ServerCooldowns} from '../../create-server-cooldowns/index.js';
import {regionDraws} from './create-spill-search.js';
import {type RoleDraw} from './create-role-draw.js';
import {type PairSearchOptions, type Scope, type Search} from './search-types.js';
import {type Candidate} from './to-best-pair.js';

const toUse = ({load}: Candidate): number => load.own / load.slotsTotal;

const toBetter = (local: Candidate | undefined, other: Candidate | undefined, toLevel: (candidate: Candidate) => number): Candidate | undefined =>
	local === undefined || (other !== undefined && toLevel(other) < toLevel(local)) ? other : local;

/**
 * @param options - Servers drawn in the own zone.
 * @param roleDraw - Draws candidates.
 * @returns A function that finds the least used of a few plain servers, of the own zone as long as one there has room.
 */
export const createPlainSearch = ({draws, doubts}: Pick<PairSearchOptions, 'draws'> & {doubts: ServerCooldowns}, {drawRole}: RoleDraw) => {
	const ownZone: Scope = {local: draws, nearby: 0};
	const region: Scope = {local: 0, nearby: regionDraws};
	const lax: Scope = {local: Infinity, nearby: regionDraws, isLax: true};
	const lastResort: Scope = {...lax, isLastResort: true};

	return (search: Search): Candidate | undefined => {
		const toLevel = ({entry}: Candidate): number => doubts.toLevel(entry, search.now);
		const pick = (scope: Scope) => drawRole(search.servers.plain, search, scope).toSorted((a, b) => (toLevel(a) - toLevel(b)) || (toUse(a) - toUse(b)))[0];
		const local = pick(ownZone);
		// A server in doubt makes its caller wait, and another zone's costs a millisecond.
		const isLocalGood = local !== undefined && toLevel(local) === 0;
		const found = isLocalGood ? local : toBetter(local, pick(region), toLevel) ?? pick(lax);
		const isLastResort = found === undefined && search.met.lost && !search.met.full;
		return isLastResort ? pick(lastResort) : found;
	};
};
