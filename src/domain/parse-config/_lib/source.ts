/** Reads YAML or JSON text into plain values, and finds the line and column of each. */
import {
	isAlias, isMap, isNode, isScalar, isSeq, LineCounter, parseDocument, type Document, type Node, type Pair,
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
		lineCounter, prettyErrors: false, strict: true, uniqueKeys: true, version: '1.2', schema: 'core',
	});
	const toLinePlace = (offset: number): Place => {
		const {line, col} = lineCounter.linePos(offset);
		return {line: Math.max(line, 1), column: Math.max(col, 1)};
	};

	const syntaxFaults = [...doc.errors, ...doc.warnings].map(error => ({
		...toLinePlace(error.pos[0]),
		problem: toOneLine(error.message),
		remedy: error.code === 'DUPLICATE_KEY' ? 'keep one of the two keys' : 'check indentation, quotes, colons and brackets at this place and on the line before',
	}));
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
