import {type ServerCooldowns} from '../../create-server-cooldowns/index.js';
import {regionDraws} from './create-spill-search.js';
import {type RoleDraw} from './create-role-draw.js';
import {type PairSearchOptions, type Scope, type Search} from './search-types.js';
import {type Candidate} from './to-best-pair.js';

const toUtilisation = ({load}: Candidate): number => load.own / load.slotsTotal;

const toBetter = (local: Candidate | undefined, other: Candidate | undefined, toLevel: (candidate: Candidate) => number): Candidate | undefined =>
	local === undefined || (other !== undefined && toLevel(other) < toLevel(local)) ? other : local;

/**
 * Creates the search for servers of plain services.
 *
 * @param options - Sample size in the own zone, and the record of cooldowns.
 * @param roleDraw - Samples candidates.
 * @returns A function that finds the least used of a few plain servers, in the own zone as long as one there has room.
 */
export const createPlainSearch = ({draws, cooldowns}: Pick<PairSearchOptions, 'draws'> & {cooldowns: ServerCooldowns}, {drawRole}: RoleDraw) => {
	const ownZone: Scope = {local: draws, nearby: 0};
	const region: Scope = {local: 0, nearby: regionDraws};
	const relaxed: Scope = {local: Infinity, nearby: regionDraws, acceptsSoftReasons: true};
	const lastResort: Scope = {...relaxed, isLastResort: true};

	return (search: Search): Candidate | undefined => {
		const toLevel = ({entry}: Candidate): number => cooldowns.toLevel(entry, search.now);
		const pick = (scope: Scope) => drawRole(search.servers.plain, search, scope).toSorted((a, b) => (toLevel(a) - toLevel(b)) || (toUtilisation(a) - toUtilisation(b)))[0];
		const local = pick(ownZone);
		// A server in cooldown may cost its caller a timeout, another zone only a millisecond.
		const isLocalGood = local !== undefined && toLevel(local) === 0;
		const found = isLocalGood ? local : toBetter(local, pick(region), toLevel) ?? pick(relaxed);
		const isLastResort = found === undefined && search.findings.unreachable && !search.findings.full;
		return isLastResort ? pick(lastResort) : found;
	};
};
