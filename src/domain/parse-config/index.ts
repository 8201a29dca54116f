/**
 * Reads a configuration document in YAML or JSON, and reports all of its faults at
 * once, each with line, column and remedy.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {isRecord} from '../../_lib/is-record/index.js';
import {type Config, type NamedPart, type FindPart} from '../../ports/config.js';
import {addEndFaults} from './_lib/check-end.js';
import {addSemanticFaults} from './_lib/check-semantics.js';
import {createFaultSink, type FaultSink} from './_lib/faults.js';
import {toContentFaults, toSyntaxFaults} from './_lib/place-faults.js';
import {readDocument} from './_lib/document.js';
import {joinParts, type JoinedSource} from './_lib/join-parts.js';
import {readNext, toValidDocument, type ValidDocument} from './_lib/read-next.js';
import {splitLines} from './_lib/split-lines.js';
import {readSource} from './_lib/source.js';
import {splitDocument} from './_lib/split-parts.js';

/** A fault in a configuration document. */
export type ConfigFault = {
	/** Name of the file or source; `undefined` for a text without a name. */
	file: string | undefined;
	/** From 1. */
	line: number;
	/** From 1. */
	column: number;
	/** What is wrong. */
	problem: string;
	/** What to write instead. */
	remedy: string;
	/** The missing part, if that is the fault. */
	missing?: NamedPart;
};

/**
 * Size of the largest YAML document that hosts read, in bytes, since their memory
 * is small. Operators' tools read larger ones, to convert them to JSON.
 */
export const maxYamlBytes = 65_536;

export type ParseConfigOptions = {
	/** Name of the file or source, for the faults. */
	file?: string;
	/** Size of the largest text that the YAML parser may get, in bytes; {@link maxYamlBytes} by default. */
	maxYamlBytes?: number;
	/** Finds the parts that a root document names; without this function all parts are missing. It must check the parts' digests, see `collectParts`. */
	findPart?: FindPart;
	/** Whether the document is a source that is not sealed yet: parts may be named without digest, and may be YAML. */
	isSource?: boolean;
	/** Returns the name of a part's file, for the faults; `part` and the part's name by default. */
	toPartFile?: (name: string) => string;
};

/** Reads a document; `findPart` finds the document's parts, if there are any. */
export type ReadConfig = (text: string, findPart?: FindPart) => Result<Config, readonly ConfigFault[]>;

const findNoPart: FindPart = () => undefined;

/**
 * Parses and validates a configuration document. This function checks that the
 * document has an end mark and that its content is valid; `checkSeal` verifies the
 * seal.
 *
 * @param text - The whole document, YAML 1.2 or JSON. Of a document in parts, the root; it is equivalent to a document in one file that has the entries of all parts, in their order, before those of the root.
 * @param options - Name of the file for the faults.
 * @returns The configuration, or all faults in the order of their lines.
 *
 * @example
 * ```ts
 * const result = parseConfig(text, {file: 'rules.yaml'});
 * if (result.isErr()) {
 * 	for (const fault of result.error) console.log(toFaultLine(fault));
 * }
 * ```
 */
export function parseConfig(text: string, options: ParseConfigOptions = {}): Result<Config, readonly ConfigFault[]> {
	return readFully(text, options).map(({config}) => config);
}

/**
 * Creates a reader that reuses the last valid document: entries of `hosts`,
 * `servers` and `rules` whose lines did not change are not read and checked again.
 * The result is the same as that of {@link parseConfig} for the same text, faults
 * included. Entries that did not change stay the same objects.
 *
 * @param options - See {@link parseConfig}.
 * @returns A function to use instead of `parseConfig`; it keeps the last valid document in memory.
 *
 * @example
 * ```ts
 * const read = createConfigReader();
 * read(text); // reads the whole text
 * read(textWithOneMoreRule); // reads one line
 * ```
 */
export function createConfigReader(options: Omit<ParseConfigOptions, 'findPart' | 'isSource'> = {}): ReadConfig {
	let last: ValidDocument | undefined;
	return (text, findPart = findNoPart) => {
		const next = last && readNext(last, text, findPart);
		const result = next ? ok(next) : readFully(text, {...options, findPart});
		if (result.isOk()) {
			last = result.value;
		}

		return result.map(({config}) => config);
	};
}

/**
 * Reads the plain values of a text, for programs that convert documents.
 *
 * @param text - A document or a part.
 * @returns The values; `undefined` when `parseConfig` reports syntax faults.
 */
export function readPlainValues(text: string): Record<string, unknown> | undefined {
	const {data, syntaxFaults} = readSource(text, Infinity);
	return syntaxFaults.length === 0 && isRecord(data) ? data : undefined;
}

function readFully(text: string, options: ParseConfigOptions): Result<ValidDocument, readonly ConfigFault[]> {
	const {file, findPart = findNoPart, isSource = false, toPartFile = name => `part ${name}`, ...rest} = options;
	const yamlBytes = rest.maxYamlBytes ?? maxYamlBytes;
	const source = readSource(text, yamlBytes);
	if (source.syntaxFaults.length > 0) {
		return err(toSyntaxFaults(source.syntaxFaults, file));
	}

	const faults = createFaultSink();
	const joined = joinParts(source, Buffer.byteLength(text), {findPart, isSource, maxYamlBytes: yamlBytes}, faults);
	if (joined.syntaxFaults.length > 0) {
		return err(joined.syntaxFaults.flatMap(({part, faults: list}) => toSyntaxFaults(list, toPartFile(part))));
	}

	const document = faults.list().length === 0 ? readConfig(joined, source.isJson, text, faults) : undefined;
	return document ? ok(document) : err(toContentFaults(faults.list(), joined, {file, isSource, toPartFile}));
}

/**
 * Formats a fault on one line, in a form that editors and terminals turn into a link.
 *
 * @param fault - A fault of {@link parseConfig}.
 * @returns `file:line:column: problem; remedy`.
 */
export function toFaultLine({file, line, column, problem, remedy}: ConfigFault): string {
	return `${file ?? 'document'}:${line}:${column}: ${problem}; ${remedy}`;
}

function readConfig({data, parts}: JoinedSource, isJson: boolean, text: string, faults: FaultSink): ValidDocument | undefined {
	const form = readDocument(data, [], faults);
	if (!form) {
		return undefined;
	}

	addEndFaults(data, text, faults);
	addSemanticFaults(form, data, faults);
	if (faults.list().length > 0) {
		return undefined;
	}

	const lines = isJson ? splitLines(text) : undefined;
	return toValidDocument(form, lines && splitDocument(lines, parts, part => splitLines(part.text)));
}
