/** Compiles the conditions of a rule into one predicate. */
import {type RuleWhen} from '../../../ports/config.js';
import {type RequestFacts} from '../index.js';

/** Longest list that is searched as an array; longer ones are looked up in a set. */
const maxArraySearch = 8;

/**
 * Compiles conditions.
 *
 * @param when - Conditions of a rule; absent ones match everything.
 * @returns A function that tells whether all conditions hold for given facts.
 */
export function toTest(when: RuleWhen): (facts: RequestFacts) => boolean {
	const inWorkspaces = toMembership(when.workspace);
	const inModels = toMembership(when.model);
	const inZones = toMembership(when.zone);
	const headers = Object.entries(when.headers ?? {});
	const least = when.promptTokensAtLeast ?? 0;
	const below = when.promptTokensBelow ?? Infinity;
	return facts => inWorkspaces(facts.workspace)
		&& inModels(facts.model)
		&& inZones(facts.zone)
		&& (when.host === undefined || when.host === facts.host)
		&& (when.path === undefined || facts.path.startsWith(when.path))
		&& (when.class === undefined || when.class === facts.class)
		&& facts.promptTokens >= least
		&& facts.promptTokens < below
		&& headers.every(([name, value]) => hasHeader(facts.headers, name, value));
}

/** Tells whether a header has the wanted value; `*` stands for any value, but the header must be present. */
function hasHeader(headers: Readonly<Record<string, string>>, name: string, value: string): boolean {
	const given = Object.hasOwn(headers, name) ? headers[name] : undefined;
	return given !== undefined && (value === '*' || value === given);
}

function toMembership(list: readonly string[] | undefined): (value: string | undefined) => boolean {
	if (list === undefined) {
		return () => true;
	}

	if (list.length <= maxArraySearch) {
		return value => value !== undefined && list.includes(value);
	}

	const set: ReadonlySet<string | undefined> = new Set(list);
	return value => set.has(value);
}
