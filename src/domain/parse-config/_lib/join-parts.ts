/** Joins a root document with its parts into one document. */
import {isRecord} from '../../../_lib/is-record/index.js';
import {splitConfigEnd} from '../../../_lib/split-config-end/index.js';
import {type NamedPart, type FindPart} from '../../../ports/config.js';
import {toPartKey} from '../../to-part-key/index.js';
import {type LongSection} from './document.js';
import {type FaultSink, type Path, type PathFault} from './faults.js';
import {type Place, type SyntaxFault} from './place.js';
import {toValueText} from './readers.js';
import {readSource, type Source} from './source.js';
import {readNamedParts} from './named-parts.js';

export const longSections = ['hosts', 'servers', 'rules'] as const satisfies readonly LongSection[];

/** Step of a path that leads from an entry in the root's list of parts into the text of that part. */
const partTextStep = '(its text)';

export type PartText = {named: NamedPart; text: string};

/** A document with the entries of its parts merged into the sections. */
export type JoinedSource = {
	data: unknown;
	parts: readonly PartText[] | undefined;
	/** Syntax faults by name of the part. */
	syntaxFaults: ReadonlyArray<{part: string; faults: readonly SyntaxFault[]}>;
	/** Finds the text that contains a fault, the root or a part, and the path and place there. */
	locate: (path: Path, at: PathFault['at']) => {part: string | undefined; path: Path; place: Place | undefined};
};

export type JoinOptions = {
	findPart: FindPart;
	/** Whether parts may be named without digest, and may be YAML. */
	isSource: boolean;
	maxYamlBytes: number;
};

type Origin = {part: number; start: number; count: number};

/**
 * Joins a root document with its parts. The entries of each long section follow
 * the order of the parts, and those of the root come last.
 *
 * @param root - The root document.
 * @param rootBytes - Length of the root document, in bytes.
 * @param options - Where parts come from.
 * @param faults - Where faults of the list of parts and of the parts' frames go.
 * @returns The document; not to be used when there were faults.
 */
export function joinParts(root: Source, rootBytes: number, options: JoinOptions, faults: FaultSink): JoinedSource {
	const {data} = root;
	if (!isRecord(data) || data.parts === undefined) {
		return {
			data, parts: undefined, syntaxFaults: [], locate: (path, at) => ({part: undefined, path, place: root.toPlace(path, at)}),
		};
	}

	const {parts: list, ...rest} = data;
	const named = readNamedParts(list, rootBytes, options.isSource, faults);
	const found = faults.list().length > 0 ? [] : findParts(named, options.findPart, faults);
	// A document with a missing part can't be checked, and a host that still has to fetch a part would read the others in vain.
	const parts = faults.list().length > 0 ? [] : found;
	// Hosts read parts in JSON only: YAML takes twenty times as long, and would be parsed again for each change.
	const sources = parts.map(({text}) => readSource(text, options.isSource ? options.maxYamlBytes : 0));
	for (const [i, {data: partData, syntaxFaults}] of sources.entries()) {
		if (syntaxFaults.length === 0) {
			addPartFaults(partData, parts[i]!.text, ['parts', i, partTextStep], faults);
		}
	}

	const {sections, origins} = joinSections(rest, sources);
	return {
		data: {...rest, ...sections},
		parts,
		syntaxFaults: sources.flatMap(({syntaxFaults}, i) => syntaxFaults.length > 0 ? [{part: parts[i]!.named.name, faults: syntaxFaults}] : []),
		locate(path, at) {
			const own = toOwnPath(path, origins);
			return own.part === undefined
				? {...own, part: undefined, place: root.toPlace(own.path, at)}
				: {...own, part: parts[own.part]!.named.name, place: sources[own.part]!.toPlace(own.path, at)};
		},
	};
}

function findParts(named: readonly NamedPart[], findPart: FindPart, faults: FaultSink): readonly PartText[] {
	const parts: PartText[] = [];
	for (const [i, part] of named.entries()) {
		const text = findPart(part);
		if (text === undefined) {
			const [problem, remedy] = toMissingText(part);
			faults.addMissing(['parts', i], part, problem, remedy);
		} else {
			parts.push({named: part, text});
		}
	}

	return parts;
}

function toMissingText(part: NamedPart): [problem: string, remedy: string] {
	const {name, sha256} = part;
	return sha256 === ''
		? [`the part ${JSON.stringify(name)} is not there`, `write the file ${name}.yaml or ${name}.json beside the root`]
		: [`the part ${JSON.stringify(name)} (${sha256.slice(0, 12)}) is missing or has another digest`, `publish it under ${toPartKey(part)}, or publish a root that does not name it`];
}

/**
 * Adds the faults of a part's frame. A part has an end mark too: hosts can tell by
 * its digest that the part is whole, but before sealing there is no digest.
 */
export function addPartFaults(data: unknown, text: string, path: Path, faults: FaultSink): void {
	if (!isRecord(data)) {
		faults.add(path, 'the part is not a map', `write "key: value" pairs with keys of: ${longSections.join(', ')}, end`);
		return;
	}

	for (const [key, value] of Object.entries(data)) {
		if ((longSections as readonly string[]).includes(key)) {
			if (!Array.isArray(value)) {
				faults.add([...path, key], `${toValueText(value)} is not a list`, 'write a list: one line for each entry, starting with "- "');
			}
		} else if (key !== 'end') {
			faults.add([...path, key], `"${key}" is not a key of a part`, 'write it in the root', 'key');
		}
	}

	const end = splitConfigEnd(text);
	if (end.kind !== 'plain' || end.edition !== 0 || data.end !== 'banyanport') {
		const last = end.format === 'json' ? 'write "end": "banyanport" as its last key, followed by the closing brace alone' : 'write "end: banyanport" as its last line, alone and not indented';
		faults.add('end' in data ? [...path, 'end'] : path, 'the part does not end with its end mark, so some of it may be missing', last);
	}
}

function toList(data: unknown, section: LongSection): readonly unknown[] | undefined {
	const list = isRecord(data) ? data[section] : undefined;
	return Array.isArray(list) ? list : undefined;
}

type Origins = Readonly<Record<LongSection, readonly Origin[]>>;

function joinSections(root: Record<string, unknown>, sources: readonly Source[]): {sections: Record<string, unknown>; origins: Origins} {
	const sections: Record<string, unknown> = {};
	const origins: Record<LongSection, Origin[]> = {hosts: [], servers: [], rules: []};
	for (const section of longSections) {
		const lists = sources.map(({data}) => toList(data, section));
		// A section of the root that is not a list stays unchanged, so that it is reported.
		if (lists.every(list => list === undefined) || (root[section] !== undefined && !Array.isArray(root[section]))) {
			continue;
		}

		let start = 0;
		for (const [part, list] of lists.entries()) {
			const count = list?.length ?? 0;
			origins[section].push({part, start, count});
			start += count;
		}

		sections[section] = [...lists.flatMap(list => list ?? []), ...toList(root, section) ?? []];
	}

	return {sections, origins};
}

/** Turns a path in the joined document into a path in the text that the value came from. */
function toOwnPath(path: Path, origins: Origins): {part: number | undefined; path: Path} {
	const [section, index, ...rest] = path;
	if (section === 'parts' && rest[0] === partTextStep) {
		return {part: Number(index), path: rest.slice(1)};
	}

	const found = typeof index === 'number' && Object.hasOwn(origins, section!) ? origins[section as LongSection] : [];
	const origin = found.find(({start, count}) => Number(index) >= start && Number(index) < start + count);
	if (origin) {
		return {part: origin.part, path: [section!, Number(index) - origin.start, ...rest]};
	}

	const partEntryCount = found.reduce((sum, {count}) => sum + count, 0);
	return {part: undefined, path: found.length > 0 ? [section!, Number(index) - partEntryCount, ...rest] : path};
}
