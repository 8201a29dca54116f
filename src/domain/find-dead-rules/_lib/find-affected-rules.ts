/** Finds the rules that an edit may have made dead, and those that decide it. */
import {type Rule, type RuleWhen} from '../../../ports/config.js';

type Whens = ReadonlyArray<Pick<Rule, 'when'>>;

/** Beyond this many rules to look at, all are: each of them is compared with every other. */
const maxSuspects = 16;

/**
 * Picks the rules to look at after an edit of a list without dead rules. A rule
 * that was alive can only have died by a new or moved rule before it that takes
 * at least one combination of its workspaces, models and zones; and whether a
 * rule is dead depends on those earlier ones alone that take a combination of it.
 *
 * @param rules - All rules in their order.
 * @param added - Positions of new and moved ones; without them the list has no dead rule.
 * @returns Positions in their order; `findDeadRules` finds a dead rule among these exactly when it finds one among all.
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
	/** Whether this condition takes all requests of at least one combination of the other. */
	takesSomeOf: (inner: RuleWhen) => boolean;
	/** The other way round. */
	isPartlyTakenBy: (outer: RuleWhen) => boolean;
};

/** Lists may have thousands of workspaces, so those of the one side are looked up in a set. */
function toComparison(when: RuleWhen): Comparison {
	const workspaces = new Set(when.workspace);
	// One function for all rules: one a rule was a megabyte of garbage for each edit of a full document.
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
