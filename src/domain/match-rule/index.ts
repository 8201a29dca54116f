/** Finds the rule that decides about a request. */
import {type Rule} from '../../ports/config.js';
import {type CompiledRules, type RequestFacts} from '../compile-rules/index.js';

/**
 * Finds the first rule all of whose conditions hold.
 *
 * @param compiled - Rules from `compileRules`.
 * @param facts - What is known of the request.
 * @returns The deciding rule; `undefined` when none matches, which the catch-all of a valid configuration rules out.
 *
 * @example
 * ```ts
 * matchRule(compileRules(config), facts)?.name; // => 'desk lookups'
 * ```
 */
export function matchRule(compiled: CompiledRules, facts: RequestFacts): Rule | undefined {
	const position = findFirst(compiled, compiled.root, facts, Infinity);
	return compiled.rules[position]?.rule;
}

/** The first matching position below a node, or `best` when none comes before it. */
function findFirst(compiled: CompiledRules, node: CompiledRules['root'], facts: RequestFacts, best: number): number {
	if (node.first >= best) {
		return best;
	}

	for (const position of node.leaf) {
		if (position >= best) {
			return best;
		}

		if (compiled.rules[position]!.test(facts)) {
			return position;
		}
	}

	if (!node.split) {
		return best;
	}

	let found = best;
	for (const key of node.split.toKeys(facts)) {
		const child = node.split.children.get(key);
		found = child ? findFirst(compiled, child, facts, found) : found;
	}

	return node.split.any ? findFirst(compiled, node.split.any, facts, found) : found;
}
