/** Prepares the rules of a configuration for matching, so that the first match is found without looking at each rule. */
import {type Config, type Rule, type RuleWhen} from '../../ports/config.js';
import {type ZoneId, type WorkspaceId} from '../../ports/ids.js';
import {type ServiceClass} from '../../ports/outcome.js';
import {buildIndex, type IndexNode} from './_lib/build-index.js';
import {toTest} from './_lib/to-test.js';

/** What rules may look at in a request. */
export type RequestFacts = {
	workspace: WorkspaceId;
	/** Model named in the request; `undefined` for plain services. */
	model: string | undefined;
	/** Path of the request without its query. */
	path: string;
	/** Header values by name in lower case. */
	headers: Readonly<Record<string, string>>;
	/** Class that the caller asked for; `undefined` when it named none. */
	class: ServiceClass | undefined;
	/** Length of the prompt; 0 for plain services. */
	promptTokens: number;
	/** Zone of the host that decides. */
	zone: ZoneId;
};

export type CompiledRule = {
	rule: Rule;
	/** Whether all conditions hold. */
	test: (facts: RequestFacts) => boolean;
};

/** Rules with their index; used with `matchRule`. */
export type CompiledRules = {
	rules: readonly CompiledRule[];
	root: IndexNode;
};

/**
 * Compiles rules. The cost grows with the number of rules and of names they
 * list; it is paid once for each accepted configuration.
 *
 * @param config - A valid configuration, or just its rules.
 * @param before - What was compiled before; where the conditions are still the same, its index is used again.
 * @returns The rules for `matchRule`.
 *
 * @example
 * ```ts
 * const compiled = compileRules(config);
 * matchRule(compiled, facts)?.then.pool; // => 'summaries'
 * ```
 */
export function compileRules(config: Pick<Config, 'rules'>, before?: CompiledRules): CompiledRules {
	if (before && haveSameConditions(before.rules, config.rules)) {
		return {...before, rules: before.rules.map((compiled, i) => toCompiled(compiled, config.rules[i]!))};
	}

	const rules = config.rules.map(rule => ({rule, test: toTest(rule.when)}));
	const whens: readonly RuleWhen[] = config.rules.map(({when}) => when);
	return {rules, root: buildIndex(whens)};
}

/** Rules that were read again and not changed have the same object for their conditions, so few are compared as text. */
function haveSameConditions(before: readonly CompiledRule[], rules: readonly Rule[]): boolean {
	return before.length === rules.length && before.every(({rule: {when}}, i) => {
		const other = rules[i]!.when;
		return when === other || JSON.stringify(when) === JSON.stringify(other);
	});
}

function toCompiled(compiled: CompiledRule, rule: Rule): CompiledRule {
	return compiled.rule === rule ? compiled : {rule, test: compiled.test};
}
