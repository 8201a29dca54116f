/** Reads YAML or JSON text into plain values, and finds the line and column of each. */
import {
	isAlias, isMap, isNode, isScalar, isSeq, LineCounter, parseDocument, visit, type Document, type Node, type Pair,
} from 'yaml';
import {type Path, type PathFault} from './faults.js';

/** A place in the text; line and column count from 1. */
export type Place = {
	line: number;
	column: number;
};

export type SyntaxFault = Place & {
	problem: string;
	remedy: string;
};

export type Source = {
	data: unknown;
	syntaxFaults: readonly SyntaxFault[];
	/** The place of a value or key; for something missing, the place of the nearest thing around it. */
	toPlace: (path: Path, at: PathFault['at']) => Place;
};

/**
 * Reads a text. Sound JSON goes the short way, which the largest documents
 * need: the YAML parser takes over a hundred times as long, and a host that
 * reads a megabyte with it answers nobody for seconds. Places are then
 * found by the YAML parser, only when somebody asks for one.
 *
 * @param text - YAML 1.2 or JSON, which YAML contains.
 * @returns Plain values, faults of syntax, and the places of values.
 */
export function readSource(text: string): Source {
	const tooDeep = findTooDeep(text);
	if (tooDeep) {
		return {data: undefined, syntaxFaults: [tooDeep], toPlace: () => tooDeep};
	}

	const data = readJson(text);
	if (data === undefined) {
		return readYaml(text);
	}

	let yaml: Source | undefined;
	return {
		data,
		syntaxFaults: [],
		toPlace(path, at) {
			yaml ??= readYaml(text);
			return yaml.toPlace(path, at);
		},
	};
}

/** Levels of brackets; a document needs six. */
const deepestBrackets = 64;

/** Columns of blanks, dashes and question marks before the first word of a line, each of which may open a level in YAML. */
const widestIndent = 128;

const [openBracket, openBrace, closeBracket, closeBrace] = Array.from('[{]}', bracket => bracket.codePointAt(0));

const wideIndent = new RegExp(`^[ ?:-]{${widestIndent + 1}}`, 'm');

/**
 * The YAML parser calls itself for each level. At some hundreds of them the
 * stack is full, and Node ends the whole process when that happens while it
 * compiles a regular expression: one published document would take down every
 * host. Brackets are counted wherever they stand, also in texts and comments,
 * which needs no parser and is strict enough for documents of six levels.
 */
function findTooDeep(text: string): SyntaxFault | undefined {
	const remedy = `nest at most ${deepestBrackets} levels`;
	const indent = wideIndent.exec(text);
	if (indent) {
		return {...toTextPlace(text, indent.index), problem: `a line is indented by more than ${widestIndent} columns`, remedy};
	}

	let depth = 0;
	for (let i = 0; i < text.length; i++) {
		const code = text.codePointAt(i);
		if (code === openBracket || code === openBrace) {
			depth++;
		} else if ((code === closeBracket || code === closeBrace) && depth > 0) {
			depth--;
		}

		if (depth > deepestBrackets) {
			return {...toTextPlace(text, i), problem: `more than ${deepestBrackets} brackets are open`, remedy};
		}
	}

	return undefined;
}

function toTextPlace(text: string, offset: number): Place {
	const before = text.slice(0, offset);
	return {line: before.split('\n').length, column: offset - before.lastIndexOf('\n')};
}

/** A key with its colon, or any other string; strings are matched whole, so that no colon inside of one counts. */
const jsonString = /"(?:[^"\\]|\\.)*"\s*(:?)/g;

/**
 * Reads JSON, or returns `undefined` for anything else. `JSON.parse` drops all
 * but the last of equal keys without a word, so a document with a rule list
 * pasted twice would lose one; the count of keys tells, and the YAML parser
 * then names the place.
 */
function readJson(text: string): unknown {
	if (!/^\s*{/.test(text)) {
		return undefined;
	}

	try {
		const data: unknown = JSON.parse(text);
		let keys = 0;
		for (const match of text.matchAll(jsonString)) {
			keys += match[1] === ':' ? 1 : 0;
		}

		return countKeys(data) === keys ? data : undefined;
	} catch {
		return undefined;
	}
}

function countKeys(value: unknown): number {
	if (typeof value !== 'object' || value === null) {
		return 0;
	}

	const items: unknown[] = Object.values(value);
	const own = Array.isArray(value) ? 0 : items.length;
	return items.reduce((sum: number, item) => sum + countKeys(item), own);
}

function readYaml(text: string): Source {
	const lineCounter = new LineCounter();
	const doc = parseDocument(text, {
		lineCounter, prettyErrors: false, strict: true, uniqueKeys: false, version: '1.2', schema: 'core',
	});
	const toLinePlace = (offset: number): Place => {
		const {line, col} = lineCounter.linePos(offset);
		return {line: Math.max(line, 1), column: Math.max(col, 1)};
	};

	const syntaxFaults = [...doc.errors, ...doc.warnings].map(error => ({
		...toLinePlace(error.pos[0]),
		problem: toOneLine(error.message),
		remedy: 'check indentation, quotes, colons and brackets at this place and on the line before',
	}));
	syntaxFaults.push(...findDoubledKeys(doc).map(({offset, name}) => ({
		...toLinePlace(offset), problem: `the key ${JSON.stringify(name)} stands twice in one map`, remedy: 'keep one of the two',
	})));
	let data: unknown;
	if (syntaxFaults.length === 0) {
		try {
			data = doc.toJS({maxAliasCount: 1000});
		} catch (error) {
			syntaxFaults.push({
				line: 1, column: 1, problem: toOneLine(String(error)), remedy: 'define an anchor (&name) above the alias (*name) that uses it, and use fewer aliases',
			});
		}
	}

	return {data, syntaxFaults, toPlace: (path, at) => toLinePlace(toOffset(doc, path, at))};
}

/**
 * The parser's own look for equal keys compares each with each: 20,000 keys in
 * one map, such as a list of callers' tokens, took it thirteen seconds.
 */
function findDoubledKeys(doc: Document): ReadonlyArray<{offset: number; name: string}> {
	const doubled: Array<{offset: number; name: string}> = [];
	visit(doc, {
		Map(_, {items}) {
			const seen = new Set<string>();
			for (const {key} of items) {
				if (!isScalar(key)) {
					continue;
				}

				const name = String(key.value);
				if (seen.has(name)) {
					doubled.push({offset: key.range?.[0] ?? 0, name});
				}

				seen.add(name);
			}
		},
	});
	return doubled;
}

function toOneLine(message: string): string {
	return message.split('\n')[0]!.replace(/^\w*Error: /, '');
}

function toOffset(doc: Document, path: Path, at: PathFault['at']): number {
	let node = resolve(doc, doc.contents);
	let offset = node?.range?.[0] ?? 0;
	for (const [i, step] of path.entries()) {
		const pair = isMap(node) ? findPair(node.items, step) : undefined;
		const child = isSeq(node) ? node.items[Number(step)] : pair?.value;
		const keyOffset = isNode(pair?.key) ? pair.key.range?.[0] : undefined;
		if (at === 'key' && i === path.length - 1) {
			return keyOffset ?? offset;
		}

		offset = (isNode(child) ? child.range?.[0] : undefined) ?? keyOffset ?? offset;
		node = resolve(doc, child);
	}

	return offset;
}

function findPair(pairs: readonly Pair[], step: string | number): Pair | undefined {
	return pairs.find(({key}) => isScalar(key) && String(key.value) === String(step));
}

function resolve(doc: Document, node: unknown): Node | undefined {
	if (isAlias(node)) {
		return node.resolve(doc);
	}

	return isNode(node) ? node : undefined;
}
