/** Compares two configurations by their decisions about sample requests. */
import {type Random} from '../../ports/clock.js';
import {type Config, type Rule, type RuleThen} from '../../ports/config.js';
import {compileRules, type RequestFacts} from '../compile-rules/index.js';
import {matchRule} from '../match-rule/index.js';
import {toSamples} from './_lib/to-samples.js';

/** A field of a decision that changed. */
export type DecisionChange = {
	/** Name of the field, for example `pool`. */
	key: string;
	before: string;
	after: string;
};

/** Sample requests whose decisions changed in the same way. */
export type ChangedRequests = {
	ruleBefore: string;
	ruleAfter: string;
	changes: readonly DecisionChange[];
	/** Number of these samples. */
	count: number;
	/** One of these samples. */
	example: RequestFacts;
};

/** An entry of a section that was added, removed or changed. */
export type ChangedEntry = {
	section: 'zones' | 'hosts' | 'servers' | 'pools' | 'rules';
	name: string;
	change: 'added' | 'removed' | 'changed';
};

export type ConfigDiff = {
	/** Number of sample requests. They are generated from both rule lists, so their shares say nothing about real traffic. */
	sampled: number;
	changed: number;
	/** Groups of changed requests, the largest first. */
	requests: readonly ChangedRequests[];
	entries: readonly ChangedEntry[];
};

export type DiffConfigsOptions = {
	/** Number of samples with random values, in addition to one sample for each rule. */
	mixtures?: number;
};

const defaultMixtures = 5000;

/**
 * Compares the decisions of two configurations about sample requests. A request
 * counts as unchanged when another rule makes the same decision.
 *
 * @param before - The configuration in force.
 * @param after - The configuration that is to follow.
 * @param random - Picks the values of the samples.
 * @param options - Number of samples.
 * @returns Requests whose decision changes, and entries that differ.
 *
 * @example
 * ```ts
 * diffConfigs(config, config, Math.random).changed; // => 0
 * ```
 */
export function diffConfigs(before: Config, after: Config, random: Random, options: DiffConfigsOptions = {}): ConfigDiff {
	const [rulesBefore, rulesAfter] = [compileRules(before), compileRules(after)];
	const groups = new Map<string, ChangedRequests>();
	const samples = toSamples([before, after], options.mixtures ?? defaultMixtures, random);
	for (const example of samples) {
		const [ruleBefore, ruleAfter] = [matchRule(rulesBefore, example), matchRule(rulesAfter, example)];
		const changes = toChanges(ruleBefore?.then, ruleAfter?.then);
		if (changes.length > 0) {
			addToGroup(groups, {
				ruleBefore: toName(ruleBefore), ruleAfter: toName(ruleAfter), changes, count: 1, example,
			});
		}
	}

	const requests = [...groups.values()].toSorted((left, right) => right.count - left.count);
	return {
		sampled: samples.length,
		changed: requests.reduce((sum, {count}) => sum + count, 0),
		requests,
		entries: toEntries(before, after),
	};
}

function toName(rule: Rule | undefined): string {
	return rule?.name ?? 'no rule';
}

function addToGroup(groups: Map<string, ChangedRequests>, changed: ChangedRequests): void {
	const key = JSON.stringify([changed.ruleBefore, changed.ruleAfter, changed.changes]);
	const group = groups.get(key) ?? {...changed, count: 0};
	groups.set(key, {...group, count: group.count + 1});
}

function toChanges(before: RuleThen | undefined, after: RuleThen | undefined): readonly DecisionChange[] {
	const [partsBefore, partsAfter] = [toParts(before), toParts(after)];
	return Object.keys({...partsBefore, ...partsAfter})
		.map(key => ({key, before: partsBefore[key] ?? 'none', after: partsAfter[key] ?? 'none'}))
		.filter(change => change.before !== change.after);
}

/** Formats the fields of a decision, for comparing and printing them. */
function toParts(then: RuleThen | undefined): Readonly<Record<string, string>> {
	if (!then) {
		return {};
	}

	return {
		pool: then.pool,
		class: then.class,
		repeatable: String(then.repeatable),
		firstToken: `${then.target.firstTokenMs}ms`,
		perToken: `${then.target.perTokenMs}ms`,
		complete: `${then.target.completeMs}ms`,
		queueLimit: String(then.queueLimit),
		versions: then.versions.map(({version, weight}) => `${version}:${weight}`).join(' ') || 'none',
		adapter: then.adapter ?? 'none',
	};
}

function toEntries(before: Config, after: Config): readonly ChangedEntry[] {
	return [
		...toSection('zones', before.zones.map(entry => [entry.id, entry]), after.zones.map(entry => [entry.id, entry])),
		...toSection('hosts', before.hosts.map(entry => [entry.id, entry]), after.hosts.map(entry => [entry.id, entry])),
		...toSection('servers', before.servers.map(entry => [entry.id, entry]), after.servers.map(entry => [entry.id, entry])),
		...toSection('pools', before.pools.map(entry => [entry.name, entry]), after.pools.map(entry => [entry.name, entry])),
		...toSection('rules', before.rules.map(entry => [entry.name, entry]), after.rules.map(entry => [entry.name, entry])),
	];
}

type NamedEntry = [name: string, entry: unknown];

function toSection(section: ChangedEntry['section'], before: readonly NamedEntry[], after: readonly NamedEntry[]): readonly ChangedEntry[] {
	const [entriesBefore, entriesAfter] = [new Map(before), new Map(after)];
	const names = new Set([...entriesBefore.keys(), ...entriesAfter.keys()]);
	return [...names].flatMap((name): ChangedEntry[] => {
		if (!entriesBefore.has(name)) {
			return [{section, name, change: 'added'}];
		}

		if (!entriesAfter.has(name)) {
			return [{section, name, change: 'removed'}];
		}

		const isSame = JSON.stringify(entriesBefore.get(name)) === JSON.stringify(entriesAfter.get(name));
		return isSame ? [] : [{section, name, change: 'changed'}];
	});
}
