/** Reads a document that differs little from one that was read before. */
import {isRecord} from '../../../_lib/is-record/index.js';
import {type Config, type Rule, type RuleThen} from '../../../ports/config.js';
import {findDeadRules, findTouchedRules} from '../../find-dead-rules/index.js';
import {addEndFaults} from './check-end.js';
import {addMeaningFaults, type ToDeadRules} from './check-meaning.js';
import {type DocumentForm, type LongSection, readFrame} from './document.js';
import {createFaultSink, type FaultSink} from './faults.js';
import {findTooDeep} from './find-too-deep.js';
import {pairLines, type LinePair} from './pair-lines.js';
import {readJson} from './read-json.js';
import {type Placed, type Reader} from './readers.js';
import * as schema from './schema.js';
import {splitLines} from './split-lines.js';
import {toConfig} from './to-config.js';

/** A document without faults. */
export type SoundDocument = {
	text: string;
	isJson: boolean;
	config: Config;
	/** Decisions by name; rules of `config` that name one hold the same object. */
	routes: DocumentForm['routes'];
};

/** With more new lines than this, reading all of the document takes no longer. */
const mostFresh = 500;

type Section<T> = {
	placed: ReadonlyArray<Placed<T>>;
	pairs: readonly LinePair[];
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
	const before = last.isJson ? splitLines(last.text) : undefined;
	const after = before && splitLines(text);
	if (!before || !after || findTooDeep(text)) {
		return undefined;
	}

	const frame = readJson(after.frame);
	if (frame.kind !== 'sound' || !isRecord(frame.data)) {
		return undefined;
	}

	const faults = createFaultSink();
	const {config} = last;
	const pair = (section: LongSection) => before.entries[section].length === config[section].length
		? pairLines(before.entries[section], after.entries[section], mostFresh)
		: undefined;
	const hosts = readSection(pair('hosts'), config.hosts, schema.host, faults);
	const servers = readSection(pair('servers'), config.servers, schema.server, faults);
	const names = new Map<RuleThen, string>(Object.entries(last.routes).map(([name, then]) => [then, name]));
	const oldRules = config.rules.map(({name, when, then}): schema.RuleForm => ({name, when, then: names.get(then) ?? then}));
	const rules = readSection(pair('rules'), oldRules, schema.rule, faults);
	const {hosts: noHosts, servers: noServers, rules: noRules, ...rest} = frame.data;
	const areTaken = [noHosts, noServers, noRules].every(section => Array.isArray(section) && section.length === 0);
	const others = areTaken ? readFrame(rest, [], faults) : undefined;
	if (!hosts || !servers || !rules || !others || faults.list().length > 0) {
		return undefined;
	}

	const form = {
		...others, routes: keepRoutes(others.routes!, last.routes), hosts: hosts.placed, servers: servers.placed, rules: rules.placed,
	};
	addEndFaults(frame.data, text, faults);
	addMeaningFaults(form, toPlain(rest, form), faults, toDeadFinder(rules.pairs));
	const next = faults.list().length > 0 ? undefined : toConfig(form, rules.pairs.map(({from}): Rule | undefined => from === undefined ? undefined : config.rules[from]));
	return next && {
		text, isJson: true, config: next, routes: form.routes,
	};
}

/** Entries whose lines are old are taken from `known`, others read. */
function readSection<T>(pairs: readonly LinePair[] | undefined, known: readonly T[], read: Reader<T>, faults: FaultSink): Section<T> | undefined {
	const placed: Array<Placed<T>> = [];
	for (const [index, {from, line}] of pairs?.entries() ?? []) {
		const value = from === undefined ? readLine(line, read, faults) : known[from];
		if (value === undefined) {
			return undefined;
		}

		placed.push({index, value});
	}

	return pairs && {placed, pairs};
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

/** No rule of the earlier document was dead, so only those that a new or moved one touches can be. */
function toDeadFinder(pairs: readonly LinePair[]): ToDeadRules {
	const added = [...pairs.entries()].flatMap(([i, {isAdded}]) => isAdded ? [i] : []);
	return rules => findDeadRules(findTouchedRules(rules, added).map(position => rules[position]!));
}
