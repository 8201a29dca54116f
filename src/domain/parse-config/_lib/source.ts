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
 * Reads a text.
 *
 * @param text - YAML 1.2 or JSON, which YAML contains.
 * @returns Plain values, faults of syntax, and the places of values.
 */
export function readSource(text: string): Source {
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
