/** Finds dead rules by the difference to a list without any. */
import {type Rule} from '../../../ports/config.js';
import {findDeadRules, findAffectedRules} from '../../find-dead-rules/index.js';
import {type FindDeadRules} from './check-semantics.js';
import {type LinePairs} from './pair-lines.js';

/** Creates a finder that checks only the rules affected by new or moved ones. No rule of the earlier document was dead, so no other rule can be. */
export function createDeadRuleFinder(pairs: LinePairs, before: readonly Rule[]): FindDeadRules {
	return rules => findDeadRules(findAffectedRules(rules, pickChangedConditions(pairs, before, rules)).map(position => rules[position]!));
}

/**
 * Leaves out the new rules that replaced a rule with the same condition, as when
 * only a name, decision or target was edited: whether a rule is dead depends on
 * conditions alone. This holds only when no rule moved, since otherwise the old
 * rule may still be in the list as well.
 */
function pickChangedConditions({from, added}: LinePairs, before: readonly Rule[], rules: ReadonlyArray<Pick<Rule, 'when'>>): readonly number[] {
	const isInPlace = rules.length === before.length && from.every((old, position) => old === -1 || old === position);
	return isInPlace ? added.filter(position => JSON.stringify(rules[position]!.when) !== JSON.stringify(before[position]!.when)) : added;
}
