/** Reads YAML or JSON text into plain values, and finds the line and column of each value. */
import {Buffer} from 'node:buffer';
import {
	isAlias, isMap, isNode, isScalar, isSeq, LineCounter, parseDocument, visit, type Document, type Node, type Pair,
} from 'yaml';
import {type Path, type PathFault} from './faults.js';
import {findDeepNesting} from './find-deep-nesting.js';
import {type Place, type SyntaxFault} from './place.js';
import {readJson, type JsonReading} from './read-json.js';

export type Source = {
	data: unknown;
	/** Whether the text is valid JSON. */
	isJson: boolean;
	syntaxFaults: readonly SyntaxFault[];
	/** Finds the place of a value or key; for a missing one, the place of the nearest value around it. `undefined` when the text is too large for the YAML parser. */
	toPlace: (path: Path, at: PathFault['at']) => Place | undefined;
};

/**
 * Reads a text. Valid JSON bypasses the YAML parser, which would be too expensive
 * for the largest documents: it takes about twenty times as long as `JSON.parse`,
 * and about 95 bytes of heap per byte of text, so that 250 KB of YAML end a
 * process with a heap of 24 MB. The YAML parser therefore gets only texts up to a
 * limit, and faults in larger JSON are reported without line and column.
 *
 * @param text - YAML 1.2 or JSON, which is a subset of YAML.
 * @param maxYamlBytes - The largest text for the YAML parser, in bytes.
 * @returns Plain values, syntax faults, and a function that finds the places of values.
 */
export function readSource(text: string, maxYamlBytes: number): Source {
	const tooDeep = findDeepNesting(text);
	if (tooDeep) {
		return {
			data: undefined, isJson: false, syntaxFaults: [tooDeep], toPlace: () => tooDeep,
		};
	}

	const json = readJson(text);
	const isSmall = Buffer.byteLength(text) <= maxYamlBytes;
	if (json.kind !== 'sound') {
		return isSmall ? readYaml(text) : toUnreadableSource(json, maxYamlBytes);
	}

	let yaml: Source | undefined;
	return {
		data: json.data,
		isJson: true,
		syntaxFaults: [],
		toPlace(path, at) {
			yaml ??= isSmall ? readYaml(text) : undefined;
			return yaml?.toPlace(path, at);
		},
	};
}

function toUnreadableSource(json: JsonReading, maxYamlBytes: number): Source {
	const fault = json.kind === 'broken'
		? {
			line: 1, column: 1, problem: `the JSON is broken: ${json.problem}`, remedy: 'check it with "banyanport check", which finds the place',
		}
		: {
			line: 1,
			column: 1,
			problem: maxYamlBytes === 0 ? 'hosts do not read parts in YAML' : `YAML of more than ${maxYamlBytes} bytes is too large for hosts`,
			remedy: maxYamlBytes === 0 ? 'publish what "banyanport seal" writes for the folder' : 'publish it as JSON, written by "banyanport seal --to json"',
		};
	return {
		data: undefined, isJson: false, syntaxFaults: [fault], toPlace: () => undefined,
	};
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
	syntaxFaults.push(...findDuplicateKeys(doc).map(({offset, name}) => ({
		...toLinePlace(offset), problem: `the key ${JSON.stringify(name)} appears twice in one map`, remedy: 'keep one of the two',
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

	return {
		data, isJson: false, syntaxFaults, toPlace: (path, at) => toLinePlace(toOffset(doc, path, at)),
	};
}

/**
 * Finds keys that a map has more than once. The parser's own check compares each
 * key with every other: it took thirteen seconds for a map of 20,000 keys, such as
 * the callers' tokens.
 */
function findDuplicateKeys(doc: Document): ReadonlyArray<{offset: number; name: string}> {
	const duplicates: Array<{offset: number; name: string}> = [];
	visit(doc, {
		Map(_, {items}) {
			const seen = new Set<string>();
			for (const {key} of items) {
				if (!isScalar(key)) {
					continue;
				}

				const name = String(key.value);
				if (seen.has(name)) {
					duplicates.push({offset: key.range?.[0] ?? 0, name});
				}

				seen.add(name);
			}
		},
	});
	return duplicates;
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
