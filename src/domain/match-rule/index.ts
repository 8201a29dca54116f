/** Finds the rule that decides how a request is routed. */
import {type Rule} from '../../ports/config.js';
import {type CompiledRules, type RequestFacts, type RuleSegment} from '../compile-rules/index.js';

/**
 * Finds the first rule all of whose conditions hold.
 *
 * @param compiled - Rules from `compileRules`.
 * @param facts - Attributes of the request that rules may test.
 * @returns The deciding rule; `undefined` when none matches, which can't happen with a valid configuration, since its last rule matches every request.
 *
 * @example
 * ```ts
 * matchRule(compileRules(config), facts)?.name; // => 'desk lookups'
 * ```
 */
export function matchRule(compiled: CompiledRules, facts: RequestFacts): Rule | undefined {
	for (const segment of compiled.segments) {
		const position = findFirst({compiled, segment, facts}, segment.root, Infinity);
		if (position < Infinity) {
			return compiled.rules[segment.start + position]!.rule;
		}
	}

	return undefined;
}

type Search = {compiled: CompiledRules; segment: RuleSegment; facts: RequestFacts};

/** Returns the first matching position below a node, or `best` when no match comes before it. */
function findFirst(search: Search, node: RuleSegment['root'], best: number): number {
	const {compiled, segment, facts} = search;
	if (node.first >= best) {
		return best;
	}

	for (const position of node.leaf) {
		if (position >= best) {
			return best;
		}

		if (compiled.rules[segment.start + position]!.test(facts)) {
			return position;
		}
	}

	if (!node.split) {
		return best;
	}

	let found = best;
	for (const key of node.split.toKeys(facts)) {
		const child = node.split.children.get(key);
		found = child ? findFirst(search, child, found) : found;
	}

	return node.split.any ? findFirst(search, node.split.any, found) : found;
}
