/** Finds the rules that an edit may have made dead, and the earlier rules that hide them. */
import {type Rule, type RuleWhen} from '../../../ports/config.js';

type Whens = ReadonlyArray<Pick<Rule, 'when'>>;

/** With more suspects than this all rules are checked, since each suspect is compared with every other rule. */
const maxSuspects = 16;

/**
 * Picks the rules to check after an edit of a list without dead rules. A rule can
 * only become dead by a new or moved rule before it that matches at least one
 * combination of its workspaces, models and zones. Whether a rule is dead depends
 * only on the earlier rules that match such a combination.
 *
 * @param rules - All rules in their order.
 * @param added - Positions of new and moved rules; without these the list has no dead rule.
 * @returns Positions in ascending order. `findDeadRules` finds a dead rule among these exactly when it finds one among all rules.
 */
export function findAffectedRules(rules: Whens, added: readonly number[]): readonly number[] {
	if (added.length > maxSuspects) {
		return rules.map((_, i) => i);
	}

	const suspects = new Set(added);
	for (const position of added) {
		const takes = toComparison(rules[position]!.when).takesSomeOf;
		for (let i = position + 1; i < rules.length; i++) {
			if (takes(rules[i]!.when)) {
				suspects.add(i);
			}
		}
	}

	return suspects.size > maxSuspects ? rules.map((_, i) => i) : addDeciding(rules, suspects);
}

function addDeciding(rules: Whens, suspects: ReadonlySet<number>): readonly number[] {
	const affected = new Set(suspects);
	for (const position of suspects) {
		const isTakenBy = toComparison(rules[position]!.when).isPartlyTakenBy;
		for (let i = 0; i < position; i++) {
			if (isTakenBy(rules[i]!.when)) {
				affected.add(i);
			}
		}
	}

	return [...affected].toSorted((left, right) => left - right);
}

type Comparison = {
	/** Tells whether this condition matches all requests of at least one combination of the other condition. */
	takesSomeOf: (inner: RuleWhen) => boolean;
	/** Tells whether the other condition matches all requests of at least one combination of this one. */
	isPartlyTakenBy: (outer: RuleWhen) => boolean;
};

/** Prepares a condition for many comparisons. Lists may have thousands of workspaces, so those of the condition are looked up in a set. */
function toComparison(when: RuleWhen): Comparison {
	const workspaces = new Set(when.workspace);
	// All rules share one function: a closure for each rule made a megabyte of garbage for each edit of a full document.
	const isListed = (name: string) => workspaces.has(name);
	const isShared = ({workspace}: RuleWhen) => workspace?.some(isListed) ?? false;
	return {
		takesSomeOf: inner => (when.workspace === undefined || isShared(inner)) && takesSome(when, inner),
		isPartlyTakenBy: outer => (outer.workspace === undefined || isShared(outer)) && takesSome(outer, when),
	};
}

function takesSome(outer: RuleWhen, inner: RuleWhen): boolean {
	return sharesOne(outer.model, inner.model)
		&& sharesOne(outer.zone, inner.zone)
		&& (outer.host === undefined || outer.host === inner.host)
		&& (outer.path === undefined || (inner.path?.startsWith(outer.path) ?? false))
		&& (outer.class === undefined || outer.class === inner.class)
		&& (outer.promptTokensAtLeast ?? 0) <= (inner.promptTokensAtLeast ?? 0)
		&& (outer.promptTokensBelow ?? Infinity) >= (inner.promptTokensBelow ?? Infinity)
		&& Object.keys(outer.headers ?? {}).every(name => inner.headers?.[name] !== undefined);
}

function sharesOne(outer: readonly string[] | undefined, inner: readonly string[] | undefined): boolean {
	return outer === undefined || (inner?.some(entry => outer.includes(entry)) ?? false);
}
