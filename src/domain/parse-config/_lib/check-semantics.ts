/** Runs the checks that a schema can't express: that names refer to existing entries, and that every rule can decide. */
import {isRecord} from '../../../_lib/is-record/index.js';
import {type PoolEntry, type RuleThen, type ServerRole} from '../../../ports/config.js';
import {findDeadRules, type DeadRule} from '../../find-dead-rules/index.js';
import {type DocumentForm} from './document.js';
import {type FaultSink, type Path} from './faults.js';
import {toNameRemedy} from './readers.js';
import {type RuleForm} from './schema.js';

export type FindDeadRules = (rules: ReadonlyArray<Pick<RuleForm, 'when'>>) => readonly DeadRule[];

/** Names that the document defines. Entries with other faults count too, so that one fault doesn't cause further ones. */
type KnownNames = {
	zones: ReadonlySet<string>;
	pools: ReadonlySet<string>;
	models: ReadonlySet<string>;
	routes: ReadonlySet<string>;
};

/**
 * Adds the faults that the semantic checks find.
 *
 * @param form - Sections that could be read.
 * @param data - The document's plain values.
 * @param faults - Where faults go.
 * @param findDead - Finds the rules that can never decide.
 */
export function addSemanticFaults(form: Partial<DocumentForm>, data: unknown, faults: FaultSink, findDead: FindDeadRules = findDeadRules): void {
	addDuplicates(data, faults);
	addEntryFaults(form, data, faults);
	addListFaults(form, data, faults, findDead);
}

/**
 * Adds the faults that an entry has by itself, or by its references to `zones`,
 * `pools` and `routes`, independent of other entries.
 *
 * @param form - See {@link addSemanticFaults}; the long sections may be incomplete.
 * @param data - The same entries as plain values.
 * @param faults - Where faults go.
 */
export function addEntryFaults(form: Partial<DocumentForm>, data: unknown, faults: FaultSink): void {
	const known: KnownNames = {
		zones: new Set(toNames(data, 'zones', 'id')),
		pools: new Set(toNames(data, 'pools', 'name')),
		models: new Set(toNames(data, 'pools', 'model')),
		routes: new Set(isRecord(data) && isRecord(data.routes) ? Object.keys(data.routes) : []),
	};
	addUnknownReferences(data, known, faults);
	addServerFaults(form, faults);
	addRouteFaults(form, faults);
	addRuleFaults(form, known, faults);
	addKeyFaults(form, faults);
}

/** Finds keys that two workspaces hold: such a key would name whichever comes last. */
function addKeyFaults({callerTokens = {}, workspaces = {}}: Partial<DocumentForm>, faults: FaultSink): void {
	const holders = new Map(Object.entries(callerTokens));
	for (const [name, {keys}] of Object.entries(workspaces)) {
		for (const [i, digest] of keys.entries()) {
			const holder = holders.get(digest);
			if (holder !== undefined && holder !== name) {
				faults.add(['workspaces', name, 'keys', i], `workspace "${holder}" holds the same key`, 'give each workspace a key of its own');
			}

			holders.set(digest, name);
		}
	}
}

/**
 * Adds the faults that concern all entries together, except duplicates.
 *
 * @param form - See {@link addSemanticFaults}.
 * @param data - The document's plain values.
 * @param faults - Where faults go.
 * @param findDead - Finds the rules that can never decide.
 */
export function addListFaults(form: Partial<DocumentForm>, data: unknown, faults: FaultSink, findDead: FindDeadRules): void {
	addRuleOrderFaults(form, data, faults, findDead);
	addEmptyPools(form, data, faults);
}

function toEntries(data: unknown, section: string): readonly unknown[] {
	const entries = isRecord(data) ? data[section] : undefined;
	return Array.isArray(entries) ? entries : [];
}

function toNames(data: unknown, section: string, key: string): string[] {
	return toEntries(data, section).flatMap(entry => isRecord(entry) && typeof entry[key] === 'string' ? [entry[key]] : []);
}

export const uniqueKeys = [['zones', 'id'], ['hosts', 'id'], ['servers', 'id'], ['servers', 'url'], ['pools', 'name'], ['rules', 'name']] as const;

function addDuplicates(data: unknown, faults: FaultSink): void {
	for (const [section, key] of uniqueKeys) {
		const seen = new Map<string, number>();
		for (const [index, entry] of toEntries(data, section).entries()) {
			const value = isRecord(entry) ? entry[key] : undefined;
			if (typeof value !== 'string') {
				continue;
			}

			const first = seen.get(value);
			if (first === undefined) {
				seen.set(value, index);
			} else {
				faults.add([section, index, key], `${JSON.stringify(value)} is already the ${key} of entry ${first + 1} of ${section}`, `give this entry another ${key}`);
			}
		}
	}
}

/** Checks references on plain values, so that they are checked in entries with other faults too. */
function addUnknownReferences(data: unknown, known: KnownNames, faults: FaultSink): void {
	const addUnknown = (kind: keyof KnownNames, name: unknown, path: Path) => {
		if (typeof name === 'string' && !known[kind].has(name)) {
			faults.add(path, `there is no ${kind.slice(0, -1)} ${JSON.stringify(name)}`, toNameRemedy(name, known[kind]));
		}
	};

	for (const section of ['hosts', 'servers']) {
		for (const [index, entry] of toEntries(data, section).entries()) {
			const {zone, pool} = toFields(entry);
			addUnknown('zones', zone, [section, index, 'zone']);
			addUnknown('pools', pool, [section, index, 'pool']);
		}
	}

	for (const [name, then] of Object.entries(toFields(toFields(data).routes))) {
		addUnknown('pools', toFields(then).pool, ['routes', name, 'pool']);
	}

	for (const [index, entry] of toEntries(data, 'rules').entries()) {
		const {when, then} = toFields(entry);
		addUnknown('routes', then, ['rules', index, 'then']);
		addUnknown('pools', toFields(then).pool, ['rules', index, 'then', 'pool']);
		const {zone} = toFields(when);
		for (const [i, name] of (Array.isArray(zone) ? zone : [zone]).entries()) {
			const place = Array.isArray(zone) ? [i] : [];
			addUnknown('zones', name, ['rules', index, 'when', 'zone', ...place]);
		}
	}
}

function toFields(value: unknown): Record<string, unknown> {
	return isRecord(value) ? value : {};
}

const rolesByKind: Readonly<Record<PoolEntry['kind'], readonly ServerRole[]>> = {model: ['prefill', 'decode'], plain: ['plain']};

function addServerFaults(form: Partial<DocumentForm>, faults: FaultSink): void {
	for (const {index, value} of form.servers ?? []) {
		const pool = findPool(form, value.pool);
		if (pool && !rolesByKind[pool.kind].includes(value.role)) {
			const problem = `a ${value.role} server can't work in pool ${JSON.stringify(pool.name)}, which is of kind ${pool.kind}`;
			faults.add(['servers', index, 'role'], problem, `write ${rolesByKind[pool.kind].join(' or ')}, or name another pool`);
		}
	}
}

function findPool(form: Partial<DocumentForm>, name: string): PoolEntry | undefined {
	return form.pools?.find(({value}) => value.name === name)?.value;
}

function addRouteFaults(form: Partial<DocumentForm>, faults: FaultSink): void {
	for (const [name, then] of Object.entries(form.routes ?? {})) {
		addThenFaults(then, form, ['routes', name], faults);
	}
}

function addThenFaults(then: RuleThen, form: Partial<DocumentForm>, path: Path, faults: FaultSink): void {
	const pool = findPool(form, then.pool);
	if (!pool) {
		return;
	}

	if (!pool.classes.includes(then.class)) {
		const problem = `${then.class} work is sent to pool ${JSON.stringify(pool.name)}, which takes only ${pool.classes.join(' and ')}`;
		faults.add([...path, 'class'], problem, `name a pool that takes ${then.class} work, or add ${then.class} to the pool's classes`);
	}

	if (then.adapter !== undefined && !pool.adapters.includes(then.adapter)) {
		faults.add([...path, 'adapter'], `pool ${JSON.stringify(pool.name)} has no adapter ${JSON.stringify(then.adapter)}`, toNameRemedy(then.adapter, pool.adapters));
	}

	if (pool.kind === 'plain' && then.versions.length > 0) {
		faults.add([...path, 'versions'], `pool ${JSON.stringify(pool.name)} is plain and has no versions`, 'leave "versions" out or name a model pool');
	}
}

function addRuleFaults(form: Partial<DocumentForm>, known: KnownNames, faults: FaultSink): void {
	for (const {index, value} of form.rules ?? []) {
		const path: Path = ['rules', index];
		if (typeof value.then !== 'string') {
			addThenFaults(value.then, form, [...path, 'then'], faults);
		}

		const then = toThen(value, form);
		const pool = then && findPool(form, then.pool);
		if (pool?.kind === 'model') {
			addModelFaults(value.when.model ?? [], pool, known.models, (position, problem, remedy) => {
				faults.add([...path, 'when', 'model', position], problem, remedy);
			});
		}
	}
}

type AddModelFault = (position: number, problem: string, remedy: string) => void;

function addModelFaults(models: readonly string[], pool: PoolEntry, known: ReadonlySet<string>, add: AddModelFault): void {
	for (const [position, model] of models.entries()) {
		if (!known.has(model)) {
			add(position, `no pool serves a model ${JSON.stringify(model)}`, toNameRemedy(model, known));
		} else if (pool.model !== model) {
			const problem = `requests for model ${JSON.stringify(model)} would go to pool ${JSON.stringify(pool.name)}, which serves ${JSON.stringify(pool.model)}`;
			add(position, problem, `name a pool that serves ${JSON.stringify(model)}`);
		}
	}
}

function toThen({then}: RuleForm, form: Partial<DocumentForm>): RuleThen | undefined {
	if (typeof then !== 'string') {
		return then;
	}

	return form.routes && Object.hasOwn(form.routes, then) ? form.routes[then] : undefined;
}

/** Checks the order of rules, provided that every rule could be read: a rule left out might be the catch-all or might hide another one. */
function addRuleOrderFaults(form: Partial<DocumentForm>, data: unknown, faults: FaultSink, findDead: FindDeadRules): void {
	const rules = form.rules ?? [];
	const last = rules.at(-1);
	if (!last || rules.length < toEntries(data, 'rules').length) {
		return;
	}

	if (Object.keys(last.value.when).length > 0) {
		faults.add(['rules', last.index], `the last rule, ${JSON.stringify(last.value.name)}, does not match every request, so some would have no rule`, 'add a last rule without "when"');
	}

	for (const {index, hiddenBy} of findDead(rules.map(({value}) => value))) {
		const {name} = rules[index]!.value;
		const hiding = rules[hiddenBy]!.value.name;
		const problem = `rule ${JSON.stringify(name)} never decides: ${JSON.stringify(hiding)} (rule ${hiddenBy + 1}) matches its requests first`;
		faults.add(['rules', index], problem, 'move it up, narrow the earlier rule, or delete it');
	}
}

/** Reports pools in use that lack a server role. A pool without rules may be empty, since an operator may be about to fill it. */
function addEmptyPools(form: Partial<DocumentForm>, data: unknown, faults: FaultSink): void {
	const servers = form.servers ?? [];
	if (servers.length < toEntries(data, 'servers').length) {
		return;
	}

	const inUse = new Set((form.rules ?? []).map(({value}) => toThen(value, form)?.pool));
	for (const {index, value: pool} of form.pools ?? []) {
		const roles = new Set(servers.filter(({value}) => value.pool === pool.name).map(({value}) => value.role));
		const missing = rolesByKind[pool.kind].filter(role => !roles.has(role));
		if (inUse.has(pool.name) && missing.length > 0) {
			const problem = `pool ${JSON.stringify(pool.name)} has no ${missing.join(' and no ')} server, and rules send requests to it`;
			faults.add(['pools', index], problem, `add a server with "pool: ${pool.name}" and "role: ${missing[0]!}"`);
		}
	}
}
