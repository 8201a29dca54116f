/** Turns the sections of a document without faults into a configuration. */
import {type Config, type Rule} from '../../../ports/config.js';
import {type DocumentForm} from './document.js';
import {type RuleForm} from './schema.js';

/**
 * Replaces names of routes by the routes themselves, and drops positions and the end mark.
 *
 * @param form - Sections of a document in which no fault was found.
 * @param known - Earlier rule objects by position in the document; one whose decision did not change is reused.
 * @returns The configuration, or `undefined` when a section is missing.
 */
export function toConfig(form: Partial<DocumentForm>, known?: ReadonlyArray<Rule | undefined>): Config | undefined {
	const {zones, hosts, servers, pools, routes, rules, callerTokens, workspaces, weightStoreBytesPerSecond} = form;
	if (!zones || !hosts || !servers || !pools || !routes || !rules || !callerTokens || weightStoreBytesPerSecond === undefined) {
		return undefined;
	}

	return {
		zones: zones.map(({value}) => value),
		hosts: hosts.map(({value}) => value),
		servers: servers.map(({value}) => value),
		pools: pools.map(({value}) => value),
		rules: rules.map(({value}, i) => toRule(value, routes, known?.[i])),
		...toCallerKeys(callerTokens, workspaces),
		weightStoreBytesPerSecond,
	};
}

/** Joins the keys of both sections, and drops them from the terms of workspaces. */
function toCallerKeys(callerTokens: DocumentForm['callerTokens'], workspaces: DocumentForm['workspaces']): Pick<Config, 'callerTokens' | 'workspaces'> {
	if (workspaces === undefined) {
		return {callerTokens};
	}

	const entries = Object.entries(workspaces);
	const keys = entries.flatMap(([name, {keys: digests}]) => digests.map(digest => [digest, name] as const));
	const terms = entries.map(([name, {class: serviceClass, limit}]) => [name, {...(serviceClass && {class: serviceClass}), ...(limit && {limit})}] as const);
	return {callerTokens: {...callerTokens, ...Object.fromEntries(keys)}, workspaces: Object.fromEntries(terms)};
}

function toRule({name, when, then}: RuleForm, routes: DocumentForm['routes'], known: Rule | undefined): Rule {
	const decision = typeof then === 'string' ? routes[then]! : then;
	return known?.then === decision ? known : {name, when, then: decision};
}
