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
	/** Value of the `Host` header; absent where rules don't ask for it. */
	host?: string | undefined;
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

/** The index of some rules that follow each other. */
export type RuleSegment = {
	/** Position of its first rule. */
	start: number;
	count: number;
	/** Its positions count from `start`, so that it stays as it is when rules are put in before it. */
	root: IndexNode;
};

/** Rules with their index; used with `matchRule`. */
export type CompiledRules = {
	rules: readonly CompiledRule[];
	/** In the order of the rules. */
	segments: readonly RuleSegment[];
};

export type CompileRulesOptions = {
	/** Rules of a segment; a list that is no longer has a single one. */
	segmentSize?: number;
};

/** A changed condition costs the index of so many rules anew, and a lookup one step for each segment. */
const defaultSegmentSize = 2000;

/**
 * Compiles rules. The cost grows with the number of rules and of names they
 * list. After an edit only the segments are indexed anew in which a condition
 * changed, or a rule came or went.
 *
 * @param config - A valid configuration, or just its rules.
 * @param before - What was compiled before, to be used again as far as it goes.
 * @param options - Length of segments.
 * @returns The rules for `matchRule`.
 *
 * @example
 * ```ts
 * const compiled = compileRules(config);
 * matchRule(compiled, facts)?.then.pool; // => 'summaries'
 * ```
 */
export function compileRules({rules}: Pick<Config, 'rules'>, before?: CompiledRules, {segmentSize = defaultSegmentSize}: CompileRulesOptions = {}): CompiledRules {
	const next = before && compileChanged(rules, before, segmentSize);
	// Edits that take rules away leave short segments behind; too many make each lookup long.
	return next && next.segments.length <= 2 * Math.ceil(rules.length / segmentSize)
		? next
		: {rules: rules.map(rule => toCompiled(undefined, rule)), segments: toSegments(rules, 0, rules.length, segmentSize)};
}

function compileChanged(rules: readonly Rule[], before: CompiledRules, segmentSize: number): CompiledRules {
	const shift = rules.length - before.rules.length;
	const {head, tail} = findUnchanged(before.rules, rules);
	const compiled = rules.map((rule, i) => {
		const isOfTail = i >= rules.length - tail;
		return toCompiled(i < head || isOfTail ? before.rules[isOfTail ? i - shift : i] : undefined, rule);
	});
	const kept = before.segments.filter(({start, count}) => start + count <= head);
	const moved = before.segments
		.filter(segment => segment.start >= before.rules.length - tail)
		.map(segment => shift === 0 ? segment : {...segment, start: segment.start + shift});
	const start = kept.reduce((sum, {count}) => sum + count, 0);
	const end = moved[0]?.start ?? rules.length;
	return {rules: compiled, segments: [...kept, ...toSegments(rules, start, end, segmentSize), ...moved]};
}

/** Counts rules at both ends that ask for what they asked for before. */
function findUnchanged(before: readonly CompiledRule[], rules: readonly Rule[]): {head: number; tail: number} {
	const shorter = Math.min(before.length, rules.length);
	let head = 0;
	while (head < shorter && isSameCondition(before[head]!, rules[head]!)) {
		head++;
	}

	let tail = 0;
	while (tail < shorter - head && isSameCondition(before[before.length - 1 - tail]!, rules[rules.length - 1 - tail]!)) {
		tail++;
	}

	return {head, tail};
}

/** Rules that were read again and not changed have the same object for their conditions, so few are compared as text. */
function isSameCondition({rule: {when}}: CompiledRule, {when: other}: Rule): boolean {
	return when === other || JSON.stringify(when) === JSON.stringify(other);
}

/** Segments of equal length for the rules from `start` up to `end`. */
function toSegments(rules: readonly Rule[], start: number, end: number, segmentSize: number): readonly RuleSegment[] {
	const number = Math.ceil((end - start) / segmentSize);
	return Array.from({length: number}, (_, i) => {
		const [from, to] = [i, i + 1].map(step => start + Math.floor((end - start) * step / number)) as [number, number];
		const whens: readonly RuleWhen[] = rules.slice(from, to).map(({when}) => when);
		return {start: from, count: to - from, root: buildIndex(whens)};
	});
}

function toCompiled(compiled: CompiledRule | undefined, rule: Rule): CompiledRule {
	return compiled?.rule === rule ? compiled : {rule, test: compiled?.test ?? toTest(rule.when)};
}
