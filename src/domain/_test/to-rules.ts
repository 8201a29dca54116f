/** Rules for tests that look at conditions alone. */
import {type Rule, type RuleThen, type RuleWhen} from '../../ports/config.js';

const anyThen: RuleThen = {
	pool: 'pool', class: 'batch', repeatable: true, target: {firstTokenMs: 1, perTokenMs: 1, completeMs: 1}, queueLimit: 1, versions: [], adapter: undefined,
};

/**
 * Gives each condition a rule named `rule N`, from 0.
 *
 * @param whens - Conditions in order.
 * @returns Rules that differ in name and conditions.
 */
export function toRules(whens: readonly RuleWhen[]): Rule[] {
	return whens.map((when, index) => ({name: `rule ${index}`, when, then: anyThen}));
}
