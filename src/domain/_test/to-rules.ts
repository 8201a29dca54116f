/** Rules for tests of conditions. */
import {type Rule, type RuleThen, type RuleWhen} from '../../ports/config.js';

const anyThen: RuleThen = {
	pool: 'pool', class: 'batch', repeatable: true, target: {firstTokenMs: 1, perTokenMs: 1, completeMs: 1}, queueLimit: 1, versions: [], adapter: undefined,
};

/**
 * Creates a rule for each condition, named `rule 0`, `rule 1` and so on.
 *
 * @param whens - Conditions in order.
 * @returns Rules that differ in name and conditions.
 */
export function toRules(whens: readonly RuleWhen[]): Rule[] {
	return whens.map((when, index) => ({name: `rule ${index}`, when, then: anyThen}));
}
