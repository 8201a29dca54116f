/** Generates requests that the rules of one or more configurations distinguish. */
import {type Random} from '../../../ports/clock.js';
import {type Config, type Rule, type RuleWhen} from '../../../ports/config.js';
import {type RequestFacts} from '../../compile-rules/index.js';

/** Values that rules test, and others that no rule names. */
type Vocabulary = {
	workspaces: readonly string[];
	models: ReadonlyArray<string | undefined>;
	paths: readonly string[];
	headers: ReadonlyArray<readonly [name: string, value: string]>;
	promptTokens: readonly number[];
	zones: readonly string[];
};

const classes = ['quick', 'batch', undefined] as const;

/**
 * Generates samples: one that matches each rule, and random mixtures of all values
 * that rules name, including prompt sizes at the bounds.
 *
 * @param configs - Configurations whose rules the samples should distinguish.
 * @param mixtures - Number of mixtures.
 * @param random - Picks the values of mixtures.
 * @returns Attributes of requests, without duplicates.
 */
export function toSamples(configs: readonly Config[], mixtures: number, random: Random): readonly RequestFacts[] {
	const vocabulary = toVocabulary(configs);
	const matching = configs.flatMap(({rules}) => rules).map(rule => toMatchingRequest(rule, vocabulary));
	const mixed = Array.from({length: mixtures}, () => toMixedRequest(vocabulary, random));
	const unique = new Map([...matching, ...mixed].map(facts => [JSON.stringify(facts), facts]));
	return [...unique.values()];
}

function toVocabulary(configs: readonly Config[]): Vocabulary {
	const whens = configs.flatMap(({rules}) => rules.map(({when}) => when));
	const bounds = whens.flatMap(({promptTokensAtLeast: least, promptTokensBelow: below}) => [...toBoundaryValues(least), ...toBoundaryValues(below)]);
	return {
		workspaces: toUnique([...whens.flatMap(({workspace}) => workspace ?? []), 'any-other-workspace']),
		models: toUnique([...whens.flatMap(({model}) => model ?? []), ...configs.flatMap(({pools}) => pools.map(({model}) => model)), undefined]),
		paths: toUnique([...whens.flatMap(({path}) => path ?? []), '/v1/completions', '/']),
		headers: whens.flatMap(({headers}) => Object.entries(headers ?? {}).map(([name, value]) => [name, value === '*' ? 'any' : value] as const)),
		promptTokens: toUnique([...bounds, 0, 500]),
		zones: toUnique(configs.flatMap(({zones}) => zones.map(({id}) => id))),
	};
}

function toBoundaryValues(bound: number | undefined): readonly number[] {
	return bound === undefined ? [] : [Math.max(0, bound - 1), bound];
}

function toUnique<T>(values: readonly T[]): readonly T[] {
	return [...new Set(values)];
}

/** Returns a request that meets all conditions of a rule; an earlier rule may match it too. */
function toMatchingRequest({when}: Rule, vocabulary: Vocabulary): RequestFacts {
	return {
		workspace: when.workspace?.[0] ?? 'any-other-workspace',
		model: when.model?.[0],
		path: when.path ?? (when.model ? '/v1/completions' : '/'),
		headers: toHeaders(when),
		class: when.class,
		promptTokens: when.promptTokensAtLeast ?? Math.min(500, (when.promptTokensBelow ?? Infinity) - 1),
		zone: when.zone?.[0] ?? vocabulary.zones[0] ?? '',
	};
}

function toHeaders({headers}: RuleWhen): Readonly<Record<string, string>> {
	return Object.fromEntries(Object.entries(headers ?? {}).map(([name, value]) => [name, value === '*' ? 'any' : value]));
}

function toMixedRequest(vocabulary: Vocabulary, random: Random): RequestFacts {
	const pick = <T>(values: readonly T[]) => values[Math.floor(random() * values.length)]!;
	const header = vocabulary.headers.length > 0 && random() < 0.5 ? [pick(vocabulary.headers)] : [];
	return {
		workspace: pick(vocabulary.workspaces),
		model: pick(vocabulary.models),
		path: pick(vocabulary.paths),
		headers: Object.fromEntries(header),
		class: pick(classes),
		promptTokens: pick(vocabulary.promptTokens),
		zone: pick(vocabulary.zones),
	};
}
