/** Finds rules that can never decide, because earlier ones take all of their requests. */
import {type Rule, type RuleWhen} from '../../ports/config.js';

export type DeadRule = {
	/** Position of the rule that never decides. */
	index: number;
	/** Position of an earlier rule that hides it, wholly or with others. */
	hiddenBy: number;
};

/** Bounds the work for a rule with long lists; beyond it only a single hiding rule is looked for. */
const maxCombinations = 20_000;

/**
 * Finds rules hidden wholly by earlier ones. Lists of workspaces, models and
 * zones are taken apart, so a rule is also found that several earlier ones hide
 * together; ranges of prompt sizes and path prefixes are not joined up.
 *
 * @param rules - Rules in their order.
 * @returns Each dead rule with one that hides it, in the order of the rules.
 *
 * @example
 * ```ts
 * findDeadRules([{name: 'all', when: {}, then}, {name: 'late', when: {model: ['m']}, then}]);
 * // => [{index: 1, hiddenBy: 0}]
 * ```
 */
export function findDeadRules(rules: ReadonlyArray<Pick<Rule, 'when'>>): readonly DeadRule[] {
	const dead: DeadRule[] = [];
	const byWorkspace = new Map<string, number[]>();
	const anyWorkspace: number[] = [];
	for (const [index, {when}] of rules.entries()) {
		const toEarlier = (workspace: string | undefined) => [...(workspace === undefined ? [] : byWorkspace.get(workspace) ?? []), ...anyWorkspace];
		const hiddenBy = findHidingRule(rules, when, toEarlier);
		if (hiddenBy !== undefined) {
			dead.push({index, hiddenBy});
			continue;
		}

		if (when.workspace === undefined) {
			anyWorkspace.push(index);
		}

		for (const workspace of when.workspace ?? []) {
			const bucket = byWorkspace.get(workspace) ?? [];
			bucket.push(index);
			byWorkspace.set(workspace, bucket);
		}
	}

	return dead;
}

function findHidingRule(rules: ReadonlyArray<Pick<Rule, 'when'>>, when: RuleWhen, toEarlier: (workspace: string | undefined) => number[]): number | undefined {
	let hiddenBy: number | undefined;
	for (const combination of toCombinations(when)) {
		const found = toEarlier(combination.workspace?.[0]).find(earlier => covers(rules[earlier]!.when, combination));
		if (found === undefined) {
			return undefined;
		}

		hiddenBy ??= found;
	}

	return hiddenBy;
}

/** The condition once for each workspace, model and zone that it lists. */
function toCombinations(when: RuleWhen): Iterable<RuleWhen> {
	const count = (when.workspace?.length ?? 1) * (when.model?.length ?? 1) * (when.zone?.length ?? 1);
	return count > maxCombinations ? [when] : expand(when);
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

/** Whether all that `inner` matches, `outer` matches too. */
function covers(outer: RuleWhen, inner: RuleWhen): boolean {
	return coversWorkspaces(outer, inner)
		&& coversList(outer.model, inner.model)
		&& coversList(outer.zone, inner.zone)
		&& (outer.path === undefined || (inner.path?.startsWith(outer.path) ?? false))
		&& (outer.class === undefined || outer.class === inner.class)
		&& (outer.promptTokensAtLeast ?? 0) <= (inner.promptTokensAtLeast ?? 0)
		&& (outer.promptTokensBelow ?? Infinity) >= (inner.promptTokensBelow ?? Infinity)
		&& Object.entries(outer.headers ?? {}).every(([name, value]) => {
			const innerValue = inner.headers?.[name];
			return innerValue !== undefined && (value === '*' || value === innerValue);
		});
}

/** A single workspace needs no look: the candidates were found by it, and a list may have thousands. */
function coversWorkspaces(outer: RuleWhen, inner: RuleWhen): boolean {
	return inner.workspace?.length === 1 || coversList(outer.workspace, inner.workspace);
}

function coversList(outer: readonly string[] | undefined, inner: readonly string[] | undefined): boolean {
	return outer === undefined || (inner?.every(entry => outer.includes(entry)) ?? false);
}
