/** Finds dead rules by the difference to a list that had none. */
import {type Rule} from '../../../ports/config.js';
import {findDeadRules, findAffectedRules} from '../../find-dead-rules/index.js';
import {type FindDeadRules} from './check-semantics.js';
import {type LinePairs} from './pair-lines.js';

/** No rule of the earlier document was dead, so only those that a new or moved one touches can be. */
export function createDeadRuleFinder(pairs: LinePairs, before: readonly Rule[]): FindDeadRules {
	return rules => findDeadRules(findAffectedRules(rules, pickChangedConditions(pairs, before, rules)).map(position => rules[position]!));
}

/**
 * Takes out the rules that stand in the place of one with the same condition,
 * as after another name, decision or target: hiding is a matter of conditions
 * alone. Where other rules moved, both might be there.
 */
function pickChangedConditions({from, added}: LinePairs, before: readonly Rule[], rules: ReadonlyArray<Pick<Rule, 'when'>>): readonly number[] {
	const isInPlace = rules.length === before.length && from.every((old, position) => old === -1 || old === position);
	return isInPlace ? added.filter(position => JSON.stringify(rules[position]!.when) !== JSON.stringify(before[position]!.when)) : added;
}
