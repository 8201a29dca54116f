/** Finds rules that can never decide, because earlier rules match all of their requests. */
import {type Rule, type RuleWhen} from '../../ports/config.js';

export {findAffectedRules} from './_lib/find-affected-rules.js';

export type DeadRule = {
	/** Position of the rule that never decides. */
	index: number;
	/** Position of an earlier rule that hides this one, alone or together with others. */
	hiddenBy: number;
};

/** Limits the work for a rule with long lists. A rule with more combinations counts as dead only if a single rule hides it. */
const maxCombinations = 20_000;

/**
 * Finds rules that earlier rules hide completely. Each combination of workspace,
 * model and zone is checked by itself, so rules that several earlier rules hide
 * together are found too. Ranges of prompt sizes and path prefixes are not combined.
 *
 * @param rules - Rules in their order.
 * @returns Each dead rule with a rule that hides it, in the order of the rules.
 *
 * @example
 * ```ts
 * findDeadRules([{name: 'all', when: {}, then}, {name: 'late', when: {model: ['m']}, then}]);
 * // => [{index: 1, hiddenBy: 0}]
 * ```
 */
export function findDeadRules(rules: ReadonlyArray<Pick<Rule, 'when'>>): readonly DeadRule[] {
	const dead: DeadRule[] = [];
	const earlier = new Map<string, number[]>();
	for (const [index, {when}] of rules.entries()) {
		const hiddenBy = findHidingRule(rules, when, earlier);
		if (hiddenBy === undefined) {
			addToBuckets(earlier, when, index);
		} else {
			dead.push({index, hiddenBy});
		}
	}

	return dead;
}

/** Adds a rule to the buckets of its most selective condition, so that only rules that may hide a later one are compared with it. */
function addToBuckets(buckets: Map<string, number[]>, when: RuleWhen, index: number): void {
	for (const key of toBucketKeys(when)) {
		const bucket = buckets.get(key);
		if (bucket) {
			bucket.push(index);
		} else {
			buckets.set(key, [index]);
		}
	}
}

function toBucketKeys(when: RuleWhen): readonly string[] {
	const [header] = Object.entries(when.headers ?? {});
	if (when.workspace !== undefined) {
		return when.workspace.map(name => `workspace ${name}`);
	}

	if (when.path !== undefined) {
		return [`path ${when.path}`];
	}

	if (header) {
		return [`header ${header[0]} ${header[1]}`];
	}

	return when.model?.map(name => `model ${name}`) ?? ['other'];
}

/** Returns the buckets of all rules that may cover a combination. Most rules name a workspace and little else, so the buckets are small. */
function * toCoveringKeys({workspace, path, headers, model}: RuleWhen): Iterable<string> {
	for (const name of workspace ?? []) {
		yield `workspace ${name}`;
	}

	for (let length = 1; length <= (path?.length ?? 0); length++) {
		yield `path ${path!.slice(0, length)}`;
	}

	for (const [name, value] of Object.entries(headers ?? {})) {
		yield `header ${name} ${value}`;
		yield `header ${name} *`;
	}

	for (const name of model ?? []) {
		yield `model ${name}`;
	}

	yield 'other';
}

function findHidingRule(rules: ReadonlyArray<Pick<Rule, 'when'>>, when: RuleWhen, earlier: ReadonlyMap<string, readonly number[]>): number | undefined {
	let hiddenBy: number | undefined;
	for (const combination of toCombinations(when)) {
		const found = findCovering(rules, combination, earlier);
		if (found === undefined) {
			return undefined;
		}

		hiddenBy ??= found;
	}

	return hiddenBy;
}

function findCovering(rules: ReadonlyArray<Pick<Rule, 'when'>>, combination: RuleWhen, earlier: ReadonlyMap<string, readonly number[]>): number | undefined {
	for (const key of toCoveringKeys(combination)) {
		const found = earlier.get(key)?.find(index => covers(rules[index]!.when, combination));
		if (found !== undefined) {
			return found;
		}
	}

	return undefined;
}

/** Returns the condition once for each combination of the workspaces, models and zones that it lists. */
function toCombinations(when: RuleWhen): Iterable<RuleWhen> {
	const count = (when.workspace?.length ?? 1) * (when.model?.length ?? 1) * (when.zone?.length ?? 1);
	return count === 1 || count > maxCombinations ? [when] : expand(when);
}

function * expand(when: RuleWhen): Iterable<RuleWhen> {
	for (const workspace of when.workspace ?? [undefined]) {
		for (const model of when.model ?? [undefined]) {
			for (const zone of when.zone ?? [undefined]) {
				yield {
					...when,
					...(workspace !== undefined && {workspace: [workspace]}),
					...(model !== undefined && {model: [model]}),
					...(zone !== undefined && {zone: [zone]}),
				};
			}
		}
	}
}

/** Tells whether `outer` matches all requests that `inner` matches. */
function covers(outer: RuleWhen, inner: RuleWhen): boolean {
	return coversWorkspaces(outer, inner)
		&& coversList(outer.model, inner.model)
		&& coversList(outer.zone, inner.zone)
		&& (outer.host === undefined || outer.host === inner.host)
		&& (outer.path === undefined || (inner.path?.startsWith(outer.path) ?? false))
		&& (outer.class === undefined || outer.class === inner.class)
		&& (outer.promptTokensAtLeast ?? 0) <= (inner.promptTokensAtLeast ?? 0)
		&& (outer.promptTokensBelow ?? Infinity) >= (inner.promptTokensBelow ?? Infinity)
		&& Object.entries(outer.headers ?? {}).every(([name, value]) => {
			const innerValue = inner.headers?.[name];
			return innerValue !== undefined && (value === '*' || value === innerValue);
		});
}

/** Tells whether `outer` accepts all workspaces of `inner`. A rule that lists workspaces was found in the bucket of the only workspace of `inner`, so its list, which may have thousands of names, need not be searched. */
function coversWorkspaces(outer: RuleWhen, inner: RuleWhen): boolean {
	return outer.workspace === undefined || inner.workspace?.length === 1 || coversList(outer.workspace, inner.workspace);
}

function coversList(outer: readonly string[] | undefined, inner: readonly string[] | undefined): boolean {
	return outer === undefined || (inner?.every(entry => outer.includes(entry)) ?? false);
}
