/** Reads a document that differs little from one that was read before. */
import {isRecord} from '../../../_lib/is-record/index.js';
import {
	type Config, type HostEntry, type Rule, type RuleThen, type ServerEntry,
} from '../../../ports/config.js';
import {findDeadRules, findTouchedRules} from '../../find-dead-rules/index.js';
import {addEndFaults} from './check-end.js';
import {
	addEntryFaults, addListFaults, addMeaningFaults, type ToDeadRules, uniqueKeys,
} from './check-meaning.js';
import {type DocumentForm, type LongSection, readFrame} from './document.js';
import {createFaultSink, type FaultSink} from './faults.js';
import {findTooDeep} from './find-too-deep.js';
import {pairLines, type LinePairs} from './pair-lines.js';
import {readJson} from './read-json.js';
import {type Placed, type Reader} from './readers.js';
import * as schema from './schema.js';
import {splitLines, type SplitText} from './split-lines.js';
import {toConfig} from './to-config.js';

/** A document without faults. */
export type SoundDocument = {
	/** Its lines; `undefined` where it is not JSON with one entry a line. */
	lines: SplitText | undefined;
	config: Config;
	/** Decisions by name; rules of `config` that name one hold the same object. */
	routes: DocumentForm['routes'];
	/** Zones, pools and routes as a text to compare. */
	frameKey: string;
};

/** With more new lines than this, reading all of the document takes no longer. */
const mostFresh = 500;

type Section<T> = {
	placed: ReadonlyArray<Placed<T>>;
	/** Entries that were not in the earlier document. */
	fresh: ReadonlyArray<Placed<T>>;
	pairs: LinePairs;
};

type Sections = {
	hosts: Section<HostEntry>;
	servers: Section<ServerEntry>;
	rules: Section<schema.RuleForm>;
};

/**
 * Reads a document by its difference to an earlier one. Both must be JSON with
 * one entry a line, as `toConfigText` writes it.
 *
 * That each line of the earlier document is one entry follows from its being
 * valid: a line that starts with a brace behind one that ends in brace and
 * comma begins an entry, since lists inside of entries hold texts alone; so
 * lines hold whole entries, and there are as many lines as entries. New lines
 * are parsed one by one. What is left of the text once the lines are taken out
 * must be sound JSON by itself, so the whole is.
 *
 * @param last - The earlier document.
 * @param text - The new one.
 * @returns What a full reading gives, or `undefined` where only that can tell: the text is written in another way, has changed too much, or has a fault.
 */
export function readNext(last: SoundDocument, text: string): SoundDocument | undefined {
	const before = last.lines;
	const after = before && splitLines(text);
	if (!before || !after || findTooDeep(text)) {
		return undefined;
	}

	const frame = readJson(after.frame);
	if (frame.kind !== 'sound' || !isRecord(frame.data)) {
		return undefined;
	}

	const faults = createFaultSink();
	const {hosts: noHosts, servers: noServers, rules: noRules, ...rest} = frame.data;
	const areTaken = [noHosts, noServers, noRules].every(section => Array.isArray(section) && section.length === 0);
	const others = areTaken ? readFrame(rest, [], faults) : undefined;
	if (!others || faults.list().length > 0) {
		return undefined;
	}

	const routes = keepRoutes(others.routes!, last.routes);
	const isSameFrame = JSON.stringify([others.zones, others.pools, routes]) === last.frameKey;
	const sections = readSections(last, {before, after, isSameFrame}, faults);
	if (!sections || faults.list().length > 0) {
		return undefined;
	}

	const {hosts, servers, rules} = sections;
	const form = {
		...others, routes, hosts: hosts.placed, servers: servers.placed, rules: rules.placed,
	};
	addEndFaults(frame.data, text, faults);
	if (isSameFrame) {
		addFreshFaults(form, rest, sections, faults);
	} else {
		addMeaningFaults(form, toPlain(rest, form), faults, toDeadFinder(rules.pairs));
	}

	return faults.list().length > 0 ? undefined : toSoundDocument(form, after, rules.pairs.from.map(from => last.config.rules[from]));
}

/**
 * Puts a document without faults together.
 *
 * @param form - Its sections.
 * @param lines - The lines of its text.
 * @param known - As of `toConfig`.
 * @returns The document, or `undefined` when a section is missing.
 */
export function toSoundDocument(form: Partial<DocumentForm>, lines: SplitText | undefined, known?: ReadonlyArray<Rule | undefined>): SoundDocument | undefined {
	const config = toConfig(form, known);
	const routes = form.routes!;
	return config && {
		lines, config, routes, frameKey: JSON.stringify([form.zones, form.pools, routes]),
	};
}

type Difference = {before: SplitText; after: SplitText; isSameFrame: boolean};

function readSections({config, routes}: SoundDocument, {before, after, isSameFrame}: Difference, faults: FaultSink): Sections | undefined {
	const pair = (section: LongSection) => before.entries[section].length === config[section].length
		? pairLines(before.entries[section], after.entries[section], mostFresh)
		: undefined;
	const hosts = readSection(pair('hosts'), config.hosts, schema.host, faults);
	const servers = readSection(pair('servers'), config.servers, schema.server, faults);
	// With the same routes a rule may stand for its own form, its decision in the place of the name.
	const rules = readSection<schema.RuleForm>(pair('rules'), isSameFrame ? config.rules : toForms(config.rules, routes), schema.rule, faults);
	return hosts && servers && rules && {hosts, servers, rules};
}

function toForms(rules: readonly Rule[], routes: DocumentForm['routes']): readonly schema.RuleForm[] {
	const names = new Map<RuleThen, string>(Object.entries(routes).map(([name, then]) => [then, name]));
	return rules.map(({name, when, then}) => ({name, when, then: names.get(then) ?? then}));
}

/** Entries whose lines are old are taken from `known`, others read. */
function readSection<T>(pairs: LinePairs | undefined, known: readonly T[], read: Reader<T>, faults: FaultSink): Section<T> | undefined {
	if (!pairs) {
		return undefined;
	}

	const placed: Array<Placed<T>> = [];
	const fresh: Array<Placed<T>> = [];
	for (const [index, from] of pairs.from.entries()) {
		const value = from === -1 ? readLine(pairs.lines[index]!, read, faults) : known[from];
		if (value === undefined) {
			return undefined;
		}

		const entry = {index, value};
		placed.push(entry);
		if (from === -1) {
			fresh.push(entry);
		}
	}

	return {placed, fresh, pairs};
}

function readLine<T>(line: string, read: Reader<T>, faults: FaultSink): T | undefined {
	const json = readJson(line.slice(0, -1));
	return json.kind === 'sound' ? read(json.data, [], faults) : undefined;
}

/** Decisions that say the same stay the same objects, and with them the rules that name them. */
function keepRoutes(routes: DocumentForm['routes'], before: DocumentForm['routes']): DocumentForm['routes'] {
	return Object.fromEntries(Object.entries(routes).map(([name, then]) => {
		const old = Object.hasOwn(before, name) ? before[name] : undefined;
		return [name, old && JSON.stringify(old) === JSON.stringify(then) ? old : then];
	}));
}

/** The plain values that checks of meaning look at; entries without faults name in their typed form what they name in the text. */
function toPlain(rest: Record<string, unknown>, {hosts, servers, rules}: Pick<DocumentForm, LongSection>): Record<string, unknown> {
	const toValues = (section: ReadonlyArray<Placed<unknown>>) => section.map(({value}) => value);
	return {
		...rest, hosts: toValues(hosts), servers: toValues(servers), rules: toValues(rules),
	};
}

/**
 * Checks of meaning where zones, pools and routes are what they were: an old
 * entry that named nothing wrong still does not. What all entries say together
 * is checked as ever.
 */
function addFreshFaults(form: Partial<DocumentForm> & Pick<DocumentForm, LongSection>, rest: Record<string, unknown>, {hosts, servers, rules}: Sections, faults: FaultSink): void {
	const freshForm = {
		...form, hosts: hosts.fresh, servers: servers.fresh, rules: rules.fresh,
	};
	addEntryFaults(freshForm, toPlain(rest, freshForm), faults);
	addListFaults(form, undefined, faults, toDeadFinder(rules.pairs));
	for (const [section, key] of uniqueKeys) {
		if ((section === 'hosts' || section === 'servers' || section === 'rules') && hasDouble(form[section], freshForm[section], key)) {
			faults.add([section], 'two entries have one name', 'give one of them another');
		}
	}
}

/** The old entries differ from each other, so one of two equal names is new. */
function hasDouble(all: ReadonlyArray<Placed<object>>, fresh: ReadonlyArray<Placed<object>>, key: string): boolean {
	const toName = ({value}: Placed<object>) => (value as Record<string, unknown>)[key];
	const names = new Set(fresh.map(entry => toName(entry)));
	return names.size > 0 && all.filter(entry => names.has(toName(entry))).length > names.size;
}

/** No rule of the earlier document was dead, so only those that a new or moved one touches can be. */
function toDeadFinder({added}: LinePairs): ToDeadRules {
	return rules => findDeadRules(findTouchedRules(rules, added).map(position => rules[position]!));
}
