/** Samples the candidates of one role from the own subset, the own zone, other zones, and the holders of the prompt's prefix. */
import {type ServerEntry} from '../../../ports/config.js';
import {type Candidates} from './create-candidates.js';
import {draw} from './draw.js';
import {type PairSearchOptions, type Scope, type Search} from './search-types.js';
import {type Candidate} from './to-best-pair.js';
import {type RoleServers} from './to-pool-index.js';

/** Number of servers of the own subset that are sampled for each role. */
const subsetDraws = 4;

/** Maximum number of holders of the prompt's prefix that are added to the sample. */
const maxPrefixHolders = 4;

/**
 * Creates the sampling of servers.
 *
 * @param options - Zone of this host and its subsets.
 * @param candidates - Evaluates each sampled server.
 * @returns Functions that sample candidates for one step of a search.
 */
export const createRoleDraw = ({zone, subsets}: Pick<PairSearchOptions, 'zone' | 'subsets'>, {toCandidate}: Candidates) => ({
	/** @returns Candidates of the role: own subset first, then the own zone, then `scope.zone` or the region. */
	drawRole(role: RoleServers, search: Search, scope: Scope): Candidate[] {
		const toValue = (entry: ServerEntry) => toCandidate(entry, search, scope);
		const own = scope.local > 0 ? draw(subsets.read(role)?.servers ?? [], subsetDraws, toValue, search.random) : [];
		const toOther = (entry: ServerEntry) => own.some(candidate => candidate.entry === entry) ? undefined : toValue(entry);
		const local = draw(role.local, scope.local, toOther, search.random);
		const others = scope.zone === undefined ? role.nearby : role.byZone.get(scope.zone) ?? [];
		return [...own, ...local, ...draw(others, scope.nearby, toValue, search.random)];
	},
	/** @returns Servers of the own zone that hold the prompt's prefix and were not sampled, longest prefix first. */
	toHolders(search: Search, drawn: readonly Candidate[]): Candidate[] {
		if (search.cachedTokens.size === 0) {
			return [];
		}

		return [...search.cachedTokens]
			.toSorted((a, b) => b[1] - a[1])
			.map(([server]) => search.entries.get(server))
			.filter(entry => entry?.pool === search.pool && entry?.zone === zone && !drawn.some(candidate => candidate.entry === entry))
			.slice(0, maxPrefixHolders)
			.map(entry => entry && toCandidate(entry, search, {}))
			.filter(candidate => candidate !== undefined);
	},
});

export type RoleDraw = ReturnType<typeof createRoleDraw>;
