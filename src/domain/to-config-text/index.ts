/** Writes a configuration as a document, for programs that generate configurations. */
import {addPlainEnd} from '../../_lib/split-config-end/index.js';
import {type Config, type Rule, type RuleThen} from '../../ports/config.js';

/**
 * Writes a plain JSON document with one entry per line, so that a small change of
 * the configuration is a small change of the text.
 *
 * @param config - A valid configuration.
 * @returns A document that `parseConfig` reads back to an equal configuration.
 *
 * @example
 * ```ts
 * parseConfig(toConfigText(config))._unsafeUnwrap(); // => config
 * ```
 */
export function toConfigText(config: Config): string {
	const routes = toRoutes(config.rules);
	const sections = [
		toSection('zones', config.zones),
		toSection('hosts', config.hosts),
		toSection('pools', config.pools),
		toSection('servers', config.servers),
		`"routes": ${toMapLines(Object.fromEntries([...routes].map(([decision, name]) => [name, JSON.parse(decision) as unknown])))}`,
		toSection('rules', config.rules.map(rule => toRuleForm(rule, routes))),
		...toKeySections(config),
		`"weightStoreBytesPerSecond": "${config.weightStoreBytesPerSecond}B"`,
	];
	return addPlainEnd(`{${sections.join(',\n')}`, 'json');
}

/** Writes the keys with their workspaces if the configuration has terms of workspaces. */
function toKeySections({callerTokens, workspaces}: Config): string[] {
	if (workspaces === undefined) {
		return [`"callerTokens": ${toMapLines(callerTokens)}`];
	}

	const names = [...new Set([...Object.keys(workspaces), ...Object.values(callerTokens)])];
	const forms = names.map(name => [name, {keys: Object.keys(callerTokens).filter(digest => callerTokens[digest] === name), ...workspaces[name]}] as const);
	return [`"workspaces": ${toMapLines(Object.fromEntries(forms))}`];
}

function toSection(name: string, entries: readonly unknown[]): string {
	return `${JSON.stringify(name)}: [${toLines(entries.map(entry => JSON.stringify(entry)))}]`;
}

function toMapLines(map: Readonly<Record<string, unknown>>): string {
	return `{${toLines(Object.entries(map).map(([key, value]) => `${JSON.stringify(key)}: ${JSON.stringify(value)}`))}}`;
}

function toLines(entries: readonly string[]): string {
	return entries.length > 0 ? `\n${entries.join(',\n')}\n` : '';
}

/** Names each distinct decision once, since thousands of rules share a few decisions. */
function toRoutes(rules: readonly Rule[]): ReadonlyMap<string, string> {
	const decisions = new Set(rules.map(({then}) => toDecision(then)));
	return new Map([...decisions].map((decision, i) => [decision, `route-${i + 1}`]));
}

function toRuleForm({name, when, then}: Rule, routes: ReadonlyMap<string, string>): Record<string, unknown> {
	const route = routes.get(toDecision(then))!;
	return {name, when, then: route};
}

function toDecision(then: RuleThen): string {
	const target = {
		firstToken: `${then.target.firstTokenMs}ms`,
		perToken: `${then.target.perTokenMs}ms`,
		complete: `${then.target.completeMs}ms`,
	};
	const versions = Object.fromEntries(then.versions.map(({version, weight}) => [version, weight]));
	const {isPublic = false, ...rest} = then;
	return JSON.stringify({
		...rest, ...(isPublic && {public: true}), target, versions,
	});
}
