import {type RequestFacts} from '../../../domain/compile-rules/index.js';

/**
 * Formats facts of a request as options of `banyanport explain`, so that they
 * can be copied to a command line.
 *
 * @param facts - Facts of a request.
 * @returns Options on one line.
 */
export function toFactsText(facts: RequestFacts): string {
	const options: ReadonlyArray<readonly [name: string, value: string | undefined]> = [
		['workspace', facts.workspace],
		['model', facts.model],
		['path', facts.path],
		['class', facts.class],
		['prompt-tokens', String(facts.promptTokens)],
		['zone', facts.zone],
		...Object.entries(facts.headers).map(([name, value]) => ['header', `${name}=${value}`] as const),
	];
	return options.flatMap(([name, value]) => value === undefined ? [] : [`--${name} ${toQuoted(value)}`]).join(' ');
}

function toQuoted(value: string): string {
	return /^[\w./:@=-]+$/.test(value) ? value : `'${value.replaceAll('\'', String.raw`'\''`)}'`;
}
