/** Reads a document by its difference to the last one, for documents that differ little. */
import {Buffer} from 'node:buffer';
import {isRecord} from '../../../_lib/is-record/index.js';
import {
	type Config, type FindPart, type HostEntry, type Rule, type RuleThen, type ServerEntry,
} from '../../../ports/config.js';
import {addEndFaults} from './check-end.js';
import {
	addEntryFaults, addListFaults, addSemanticFaults, type FindDeadRules, uniqueKeys,
} from './check-semantics.js';
import {type DocumentForm, type LongSection, readFrame} from './document.js';
import {createFaultSink, type FaultSink} from './faults.js';
import {findDeepNesting} from './find-deep-nesting.js';
import {longSections, type PartText} from './join-parts.js';
import {pairLines, type LinePairs} from './pair-lines.js';
import {readNamedParts} from './named-parts.js';
import {readJson} from './read-json.js';
import {type Indexed, type Reader} from './readers.js';
import * as schema from './schema.js';
import {splitLines, type SplitText} from './split-lines.js';
import {splitDocument, splitNewPart, type SplitDocument} from './split-parts.js';
import {toConfig} from './to-config.js';
import {createDeadRuleFinder} from './create-dead-rule-finder.js';

/** A document without faults. */
export type ValidDocument = {
	/** Lines of the document; `undefined` when it is not JSON with one entry per line. */
	lines: SplitDocument | undefined;
	config: Config;
	/** Entries of the long sections with their positions. */
	placed: {
		hosts: DocumentForm['hosts'];
		servers: DocumentForm['servers'];
		rules: ReadonlyArray<Indexed<Rule>>;
	};
	/** Decisions by name; rules of `config` that name one hold the same object. */
	routes: DocumentForm['routes'];
	/** Zones, pools and routes as a text to compare. */
	frameKey: string;
};

/** With more new lines than this, reading the whole document takes no longer. */
const maxNewLines = 500;

type Section<T> = {
	placed: ReadonlyArray<Indexed<T>>;
	/** Entries that were not in the earlier document. */
	added: ReadonlyArray<Indexed<T>>;
	pairs: LinePairs;
};

type Sections = {
	hosts: Section<HostEntry>;
	servers: Section<ServerEntry>;
	rules: Section<schema.RuleForm>;
};

/**
 * Reads a document by its difference to an earlier one. Both must be JSON with
 * one entry per line, as `toConfigText` writes it.
 *
 * Each line of the earlier document is exactly one entry. This follows from its
 * validity: lists inside of entries contain only strings, so a line that starts
 * with a brace, after a line that ends with a brace and a comma, begins an entry.
 * Lines therefore contain whole entries, and there are as many lines as entries.
 * New lines are parsed one by one. The frame, which is the text without the lines
 * of entries, must be valid JSON by itself, so the whole text is valid JSON too.
 *
 * The same holds for each text of a document in parts. Parts that were in the
 * earlier document are not read again.
 *
 * @param last - The earlier document.
 * @param text - The new document, or the root of a document in parts.
 * @param findPart - Finds the text of a part.
 * @returns The same document as a full reading gives; `undefined` when a full reading is needed, because the text is laid out in another way, has changed too much, or has a fault.
 */
export function readNext(last: ValidDocument, text: string, findPart: FindPart): ValidDocument | undefined {
	const before = last.lines;
	const split = before && splitNext(before, text, findPart);
	const faults = createFaultSink();
	const others = split && readFrame(split.rest, [], faults);
	if (!split || !others || faults.list().length > 0) {
		return undefined;
	}

	const {after, rest, data} = split;
	const routes = reuseRoutes(others.routes!, last.routes);
	const isSameFrame = JSON.stringify([others.zones, others.pools, routes]) === last.frameKey;
	const sections = readSections(last, {before, after, isSameFrame}, faults);
	if (!sections || faults.list().length > 0) {
		return undefined;
	}

	const {hosts, servers, rules} = sections;
	const form = {
		...others, routes, hosts: hosts.placed, servers: servers.placed, rules: rules.placed,
	};
	addEndFaults(data, text, faults);
	const findDead = createDeadRuleFinder(rules.pairs, last.config.rules);
	if (isSameFrame) {
		addNewEntryFaults(form, rest, {...sections, toDead: findDead}, faults);
	} else {
		addSemanticFaults(form, toPlainValues(rest, form), faults, findDead);
	}

	return faults.list().length > 0 ? undefined : toValidDocument(form, after, rules.pairs.from.map(from => last.config.rules[from]));
}

/**
 * Assembles a document without faults.
 *
 * @param form - Sections of the document.
 * @param lines - Lines of the document's text.
 * @param known - See `toConfig`.
 * @returns The document, or `undefined` when a section is missing.
 */
export function toValidDocument(form: Partial<DocumentForm>, lines: SplitDocument | undefined, known?: ReadonlyArray<Rule | undefined>): ValidDocument | undefined {
	const config = toConfig(form, known);
	if (!config) {
		return undefined;
	}

	const {zones, hosts, servers, pools, rules, routes} = form as DocumentForm;
	const indexedRules = config.rules.map((rule, index) => {
		const entry = rules[index]!;
		return hasValue(entry, rule) ? entry : {index, value: rule};
	});
	return {
		lines, config, placed: {hosts, servers, rules: indexedRules}, routes, frameKey: JSON.stringify([zones, pools, routes]),
	};
}

type NextLines = {
	after: SplitDocument;
	/** Plain values of the frame. */
	data: Record<string, unknown>;
	/** Plain values of the frame without long sections and parts. */
	rest: Record<string, unknown>;
};

function splitNext(before: SplitDocument, text: string, findPart: FindPart): NextLines | undefined {
	const root = findDeepNesting(text) ? undefined : splitLines(text);
	const frame = root && readJson(root.frame);
	if (!root || frame?.kind !== 'sound' || !isRecord(frame.data)) {
		return undefined;
	}

	const {data} = frame;
	const {hosts, servers, rules, parts: list, ...rest} = data;
	const parts = list === undefined ? undefined : findParts(list, text, findPart);
	if (list !== undefined && !parts) {
		return undefined;
	}

	const after = splitDocument(root, parts, part => before.parts?.get(part.named.sha256) ?? splitNewPart(part.text));
	const areFullySplit = after && [hosts, servers, rules].every((section, i) => isFullySplit(section, parts !== undefined && after.entries[longSections[i]!].length > 0));
	return areFullySplit ? {after, data, rest} : undefined;
}

/** Tells whether a section had no entries but the lines. In one file each section must be present; in a document in parts it must be in the root or in a part. */
function isFullySplit(section: unknown, isInPart: boolean): boolean {
	return Array.isArray(section) ? section.length === 0 : section === undefined && isInPart;
}

/** Finds all parts; `undefined` when the list has a fault or a part is missing. */
function findParts(list: unknown, rootText: string, findPart: FindPart): readonly PartText[] | undefined {
	const faults = createFaultSink();
	const named = readNamedParts(list, Buffer.byteLength(rootText), false, faults);
	if (faults.list().length > 0) {
		return undefined;
	}

	const texts = named.map(part => findPart(part));
	return texts.every(found => found !== undefined) ? named.map((part, i) => ({named: part, text: texts[i]!})) : undefined;
}

function hasValue<T>(entry: Indexed<unknown>, value: T): entry is Indexed<T> {
	return entry.value === value;
}

type Difference = {before: SplitText; after: SplitText; isSameFrame: boolean};

function readSections({config, routes, placed}: ValidDocument, {before, after, isSameFrame}: Difference, faults: FaultSink): Sections | undefined {
	const pair = (section: LongSection) => before.entries[section].length === config[section].length
		? pairLines(before.entries[section], after.entries[section], maxNewLines)
		: undefined;
	const hosts = readSection(pair('hosts'), placed.hosts, schema.host, faults);
	const servers = readSection(pair('servers'), placed.servers, schema.server, faults);
	// When routes did not change, the rules of the configuration are used as their own form, with the decision in the place of the route's name.
	const rules = readSection<schema.RuleForm>(pair('rules'), isSameFrame ? placed.rules : toRuleForms(config.rules, routes), schema.rule, faults);
	return hosts && servers && rules && {hosts, servers, rules};
}

function toRuleForms(rules: readonly Rule[], routes: DocumentForm['routes']): ReadonlyArray<Indexed<schema.RuleForm>> {
	const names = new Map<RuleThen, string>(Object.entries(routes).map(([name, then]) => [then, name]));
	return rules.map(({name, when, then}, index) => ({index, value: {name, when, then: names.get(then) ?? then}}));
}

/**
 * Takes entries whose lines did not change from `known`, and reads the others. An
 * entry that keeps its position stays the same object: a full document has 11,000
 * entries, and creating all of them again for each edit cost more than reading.
 */
function readSection<T>(pairs: LinePairs | undefined, known: ReadonlyArray<Indexed<T>>, read: Reader<T>, faults: FaultSink): Section<T> | undefined {
	if (!pairs) {
		return undefined;
	}

	const {from, lines} = pairs;
	const placed = from.map((old, index) => old === -1 ? {index, value: readLine(lines[index]!, read, faults)} : withIndex(known[old]!, index));
	return placed.every(entry => isRead(entry)) ? {placed, added: placed.filter((_, index) => from[index] === -1), pairs} : undefined;
}

function isRead<T>(entry: Indexed<T | undefined>): entry is Indexed<T> {
	return entry.value !== undefined;
}

function withIndex<T>(entry: Indexed<T>, index: number): Indexed<T> {
	return entry.index === index ? entry : {index, value: entry.value};
}

function readLine<T>(line: string, read: Reader<T>, faults: FaultSink): T | undefined {
	const json = readJson(line.slice(0, -1));
	return json.kind === 'sound' ? read(json.data, [], faults) : undefined;
}

/** Reuses the objects of unchanged decisions, so that the rules that name them are reused too. */
function reuseRoutes(routes: DocumentForm['routes'], before: DocumentForm['routes']): DocumentForm['routes'] {
	return Object.fromEntries(Object.entries(routes).map(([name, then]) => {
		const old = Object.hasOwn(before, name) ? before[name] : undefined;
		return [name, old && JSON.stringify(old) === JSON.stringify(then) ? old : then];
	}));
}

/** Returns the plain values for the semantic checks. Entries without faults refer to the same names in their typed form as in the text. */
function toPlainValues(rest: Record<string, unknown>, {hosts, servers, rules}: Pick<DocumentForm, LongSection>): Record<string, unknown> {
	const toValues = (section: ReadonlyArray<Indexed<unknown>>) => section.map(({value}) => value);
	return {
		...rest, hosts: toValues(hosts), servers: toValues(servers), rules: toValues(rules),
	};
}

/**
 * Runs the semantic checks when zones, pools and routes did not change: the
 * references of an unchanged entry are then still valid, so only new entries are
 * checked one by one. Checks that concern all entries together run in full.
 */
function addNewEntryFaults(form: Partial<DocumentForm> & Pick<DocumentForm, LongSection>, rest: Record<string, unknown>, sections: Sections & {toDead: FindDeadRules}, faults: FaultSink): void {
	const {hosts, servers, rules, toDead} = sections;
	const newForm = {
		...form, hosts: hosts.added, servers: servers.added, rules: rules.added,
	};
	addEntryFaults(newForm, toPlainValues(rest, newForm), faults);
	addListFaults(form, undefined, faults, toDead);
	for (const [section, key] of uniqueKeys) {
		if ((section === 'hosts' || section === 'servers' || section === 'rules') && hasDuplicate(form[section], newForm[section], key)) {
			faults.add([section], 'two entries have the same name', 'give one of them another name');
		}
	}
}

/** Tells whether a new entry repeats a name. Old entries have different names, so one of two equal names is always new. */
function hasDuplicate(all: ReadonlyArray<Indexed<object>>, added: ReadonlyArray<Indexed<object>>, key: string): boolean {
	const toName = ({value}: Indexed<object>) => (value as Record<string, unknown>)[key];
	const names = new Set(added.map(entry => toName(entry)));
	return names.size > 0 && all.filter(entry => names.has(toName(entry))).length > names.size;
}
