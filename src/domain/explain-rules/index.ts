/** Explains which rule decides about a request, and why each earlier one did not. */
import {type Rule, type RuleThen, type RuleWhen} from '../../ports/config.js';
import {type RequestFacts} from '../compile-rules/index.js';

/** A condition that does not hold. */
export type UnmetCondition = {
	/** Key of the condition, for example `model` or `headers.x-genre`. */
	condition: string;
	/** Value that the rule requires. */
	wanted: string;
	/** Value that the request has. */
	got: string;
};

export type PassedOverRule = {
	index: number;
	name: string;
	unmet: readonly UnmetCondition[];
};

export type RuleExplanation = {
	deciding: {index: number; name: string; decision: RuleThen} | undefined;
	passedOver: readonly PassedOverRule[];
};

/** Number of names after which an explanation cuts a list. */
const maxShownNames = 5;

/**
 * Explains a decision by testing each rule in order.
 *
 * @param rules - Rules in their order.
 * @param facts - Attributes of the request.
 * @returns The deciding rule, and each earlier one with the conditions that do not hold.
 *
 * @example
 * ```ts
 * explainRules(config.rules, facts).passedOver[0]?.unmet;
 * // => [{condition: 'model', wanted: 'letter-summary', got: 'nothing'}]
 * ```
 */
export function explainRules(rules: readonly Rule[], facts: RequestFacts): RuleExplanation {
	const passedOver: PassedOverRule[] = [];
	for (const [index, rule] of rules.entries()) {
		const unmet = toUnmet(rule.when, facts);
		if (unmet.length === 0) {
			return {deciding: {index, name: rule.name, decision: rule.then}, passedOver};
		}

		passedOver.push({index, name: rule.name, unmet});
	}

	return {deciding: undefined, passedOver};
}

function toUnmet(when: RuleWhen, facts: RequestFacts): readonly UnmetCondition[] {
	return [
		...toUnmetList('workspace', when.workspace, facts.workspace),
		...toUnmetList('model', when.model, facts.model),
		...toUnmetIf(when.host !== undefined && when.host !== facts.host, 'host', when.host!, facts.host ?? ''),
		...toUnmetIf(when.path !== undefined && !facts.path.startsWith(when.path), 'path', `${when.path}...`, facts.path),
		...Object.entries(when.headers ?? {}).flatMap(([name, value]) => toUnmetHeader(name, value, facts.headers)),
		...toUnmetIf(when.class !== undefined && when.class !== facts.class, 'class', String(when.class), facts.class),
		...toUnmetIf(facts.promptTokens < (when.promptTokensAtLeast ?? 0), 'promptTokensAtLeast', `${when.promptTokensAtLeast}`, `${facts.promptTokens}`),
		...toUnmetIf(facts.promptTokens >= (when.promptTokensBelow ?? Infinity), 'promptTokensBelow', `${when.promptTokensBelow}`, `${facts.promptTokens}`),
		...toUnmetList('zone', when.zone, facts.zone),
	];
}

function toUnmetIf(isUnmet: boolean, condition: string, wanted: string, got: string | undefined): readonly UnmetCondition[] {
	return isUnmet ? [{condition, wanted, got: got ?? 'nothing'}] : [];
}

function toUnmetList(condition: string, list: readonly string[] | undefined, got: string | undefined): readonly UnmetCondition[] {
	if (list === undefined || (got !== undefined && list.includes(got))) {
		return [];
	}

	const more = list.length > maxShownNames ? ` or ${list.length - maxShownNames} more` : '';
	return [{condition, wanted: `${list.slice(0, maxShownNames).join(' or ')}${more}`, got: got ?? 'nothing'}];
}

function toUnmetHeader(name: string, value: string, headers: Readonly<Record<string, string>>): readonly UnmetCondition[] {
	const got = Object.hasOwn(headers, name) ? headers[name] : undefined;
	const isMet = got !== undefined && (value === '*' || value === got);
	return toUnmetIf(!isMet, `headers.${name}`, value === '*' ? 'any value' : value, got);
}
