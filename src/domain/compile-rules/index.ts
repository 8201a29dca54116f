/** Compiles the rules of a configuration into an index, so that the first match is found without testing each rule. */
import {type Config, type Rule, type RuleWhen} from '../../ports/config.js';
import {type ZoneId, type WorkspaceId} from '../../ports/ids.js';
import {type ServiceClass} from '../../ports/outcome.js';
import {buildIndex, type IndexNode} from './_lib/build-index.js';
import {toTest} from './_lib/to-test.js';

/** Attributes of a request that rules may test. */
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
	/** Length of the prompt in tokens; 0 for plain services. */
	promptTokens: number;
	/** Zone of the host that routes the request. */
	zone: ZoneId;
};

export type CompiledRule = {
	rule: Rule;
	/** Tells whether all conditions of the rule hold. */
	test: (facts: RequestFacts) => boolean;
};

/** The index of a run of consecutive rules. */
export type RuleSegment = {
	/** Position of the segment's first rule. */
	start: number;
	count: number;
	/** Root of the index. Positions in it count from `start`, so that inserting rules before the segment leaves the index valid. */
	root: IndexNode;
};

/** Rules with their index, for `matchRule`. */
export type CompiledRules = {
	rules: readonly CompiledRule[];
	/** In the order of the rules. */
	segments: readonly RuleSegment[];
};

export type CompileRulesOptions = {
	/** Rules per segment; a list of at most this length has a single segment. */
	segmentSize?: number;
};

/** Larger segments cost more to rebuild after an edit; smaller ones slow down each lookup, which visits every segment. */
const defaultSegmentSize = 2000;

/**
 * Compiles rules. The cost grows with the number of rules and of the names that
 * they list. After an edit only those segments are rebuilt in which a condition
 * changed or a rule was added or removed.
 *
 * @param config - A valid configuration, or just its rules.
 * @param before - Result of an earlier call, whose unchanged segments and tests are reused.
 * @param options - Length of segments.
 * @returns The compiled rules, for `matchRule`.
 *
 * @example
 * ```ts
 * const compiled = compileRules(config);
 * matchRule(compiled, facts)?.then.pool; // => 'summaries'
 * ```
 */
export function compileRules({rules}: Pick<Config, 'rules'>, before?: CompiledRules, {segmentSize = defaultSegmentSize}: CompileRulesOptions = {}): CompiledRules {
	const next = before && compileChanged(rules, before, segmentSize);
	// Removed rules leave short segments behind. Each lookup visits all segments, so too many of them slow it down.
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

/** Counts the rules at both ends of the list whose conditions did not change. */
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

/** Unchanged rules keep the same `when` object when a document is read again, so few conditions are compared as text. */
function isSameCondition({rule: {when}}: CompiledRule, {when: other}: Rule): boolean {
	return when === other || JSON.stringify(when) === JSON.stringify(other);
}

/** Builds segments of equal length for the rules from `start` up to, but not including, `end`. */
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
