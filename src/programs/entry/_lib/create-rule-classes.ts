/** Rules with the class of a workspace in place of their own. */
import {type Rule} from '../../../ports/config.js';
import {type ServiceClass} from '../../../ports/outcome.js';

export type RuleClasses = {
	/** Returns the rule with the given class; the rule itself if it has that class or none is given. */
	toRule: (rule: Rule, serviceClass: ServiceClass | undefined) => Rule;
};

/**
 * Creates the rules of one router, each of which is copied at most once.
 *
 * @returns See {@link RuleClasses}.
 */
export function createRuleClasses(): RuleClasses {
	/** Copies by their rule. There are two classes, so each rule has at most one copy. */
	const copies = new WeakMap<Rule, Rule>();
	return {
		toRule(rule, serviceClass = rule.then.class) {
			if (serviceClass === rule.then.class) {
				return rule;
			}

			const copy = copies.get(rule) ?? {...rule, then: {...rule.then, class: serviceClass}};
			copies.set(rule, copy);
			return copy;
		},
	};
}
