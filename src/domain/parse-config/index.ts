/**
 * Reads a configuration document, in YAML or JSON, and reports everything that
 * is wrong with it at once, each with line, column and remedy.
 */
import {err, ok, type Result} from 'neverthrow';
import {type Config} from '../../ports/config.js';
import {addEndFaults} from './_lib/check-end.js';
import {addMeaningFaults} from './_lib/check-meaning.js';
import {createFaultSink, type FaultSink, type Path} from './_lib/faults.js';
import {readDocument} from './_lib/document.js';
import {type Place} from './_lib/place.js';
import {readNext, toSoundDocument, type SoundDocument} from './_lib/read-next.js';
import {splitLines} from './_lib/split-lines.js';
import {readSource, type Source} from './_lib/source.js';

/** One thing that is wrong with a configuration document. */
export type ConfigFault = {
	/** Name of the file or source; `undefined` where the text came without one. */
	file: string | undefined;
	/** From 1. */
	line: number;
	/** From 1. */
	column: number;
	/** What is wrong. */
	problem: string;
	/** What to write instead. */
	remedy: string;
};

/** Faults that are reported with their places. */
const maxFaults = 200;

/**
 * The largest document in YAML, in bytes. Hosts keep to it, whose memory is
 * small; operators' tools read larger ones to turn them into JSON.
 */
export const maxYamlBytes = 65_536;

export type ParseConfigOptions = {
	/** Name of the file or source, for the faults. */
	file?: string;
	/** The largest text that the YAML parser sees, in bytes; {@link maxYamlBytes} unless given. */
	maxYamlBytes?: number;
};

/**
 * Parses and validates a configuration document. Whether its seal holds is
 * `checkSeal`'s to say; this function checks that the document has an end mark
 * and that all of its content is valid.
 *
 * @param text - The whole document, YAML 1.2 or JSON.
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
	return readWhole(text, options).map(({config}) => config);
}

/**
 * Creates a reader that uses again what it has read: entries of `hosts`,
 * `servers` and `rules` whose lines stand in the last valid document are not
 * read and checked anew. What it returns equals what {@link parseConfig}
 * returns for the same text, faults included. Entries that did not change stay
 * the same objects.
 *
 * @param options - As of {@link parseConfig}.
 * @returns A function in the place of `parseConfig`; it keeps the last valid document.
 *
 * @example
 * ```ts
 * const read = createConfigReader();
 * read(text); // reads all
 * read(textWithOneMoreRule); // reads one line
 * ```
 */
export function createConfigReader(options: ParseConfigOptions = {}): (text: string) => Result<Config, readonly ConfigFault[]> {
	let last: SoundDocument | undefined;
	return text => {
		const next = last && readNext(last, text);
		const result = next ? ok(next) : readWhole(text, options);
		if (result.isOk()) {
			last = result.value;
		}

		return result.map(({config}) => config);
	};
}

function readWhole(text: string, options: ParseConfigOptions): Result<SoundDocument, readonly ConfigFault[]> {
	const toFault = ({line, column}: Place, problem: string, remedy: string): ConfigFault => ({
		file: options.file, line, column, problem, remedy,
	});
	const source = readSource(text, options.maxYamlBytes ?? maxYamlBytes);
	if (source.syntaxFaults.length > 0) {
		return err(cutFaults(source.syntaxFaults, fault => toFault(fault, fault.problem, fault.remedy)));
	}

	const faults = createFaultSink();
	const sound = readConfig(source, text, faults);
	if (sound) {
		return ok(sound);
	}

	return err(cutFaults(faults.list(), ({path, at, problem, remedy}) => {
		const place = source.toPlace(path, at);
		return place ? toFault(place, problem, remedy) : toFault({line: 1, column: 1}, `${toPathText(path)}${problem}`, remedy);
	}));
}

/** The path in place of line and column, positions in lists from 1. */
function toPathText(path: Path): string {
	const steps = path.map(step => typeof step === 'number' ? step + 1 : step);
	return steps.length > 0 ? `${steps.join(' ')}: ` : '';
}

/**
 * Finds the places of the first faults, in the order of lines. A place costs a
 * walk through the document, and a text that is no configuration at all can have
 * a fault on each of 100,000 lines, which would hold a host up for minutes.
 */
function cutFaults<T>(faults: readonly T[], locate: (fault: T) => ConfigFault): readonly ConfigFault[] {
	const located = faults.slice(0, maxFaults).map(fault => locate(fault)).toSorted((left, right) => left.line - right.line || left.column - right.column);
	const more = faults.length - located.length;
	const last = located.at(-1);
	return last && more > 0 ? [...located, {...last, problem: `${more} more faults were found`, remedy: 'mend these first'}] : located;
}

/**
 * Writes a fault on one line, in the form that editors and terminals link.
 *
 * @param fault - A fault of {@link parseConfig}.
 * @returns `file:line:column: problem; remedy`.
 */
export function toFaultLine({file, line, column, problem, remedy}: ConfigFault): string {
	return `${file ?? 'document'}:${line}:${column}: ${problem}; ${remedy}`;
}

function readConfig({data, isJson}: Source, text: string, faults: FaultSink): SoundDocument | undefined {
	const form = readDocument(data, [], faults);
	if (!form) {
		return undefined;
	}

	addEndFaults(data, text, faults);
	addMeaningFaults(form, data, faults);
	return faults.list().length > 0 ? undefined : toSoundDocument(form, isJson ? splitLines(text) : undefined);
}
