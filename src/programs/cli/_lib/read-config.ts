/** Reads a configuration document with all checks that a host makes. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {checkSeal, type ConfigSeal} from '../../../domain/check-seal/index.js';
import {
	type ConfigFault, maxYamlBytes, parseConfig, toFaultLine,
} from '../../../domain/parse-config/index.js';
import {type Config} from '../../../ports/config.js';
import {bytesPerMebibyte} from '../../../ports/units.js';
import {
	type AccessFailure, type CliIo, type CommandResult, exitCodes, toJsonText,
} from './io.js';
import {
	createPartFinder, readDocumentFiles, toFileFault, toPartFile, type DocumentFiles,
} from './read-folder.js';

/** Largest value that the platform stores. */
export const maxDocumentBytes = bytesPerMebibyte;

export type CheckedConfig = {
	text: string;
	/** Size of all its files. */
	bytes: number;
	/** Number of its parts; 0 for a document in one file. */
	parts: number;
	seal: ConfigSeal;
	config: Config;
};

export type ReadConfigFailure = {kind: 'access'; failure: AccessFailure} | {kind: 'faults'; faults: readonly ConfigFault[]};

/**
 * Reads a document and checks its size, its end and its content.
 *
 * @param io - Reads the file.
 * @param file - Path of the document, or of the root or folder of one in parts; `-` for the standard input.
 * @returns The configuration, why the file can't be read, or all faults.
 */
export async function readConfig(io: CliIo, file: string): Promise<Result<CheckedConfig, ReadConfigFailure>> {
	const read = await readDocumentFiles(io, file);
	if (read.isErr()) {
		return err({kind: 'access', failure: read.error});
	}

	const files = read.value;
	const {text} = files;
	const seal = checkSeal(text);
	const parsed = parseConfig(text, {
		file: files.file, maxYamlBytes: Infinity, isSource: files.parts !== undefined, findPart: createPartFinder(files), toPartFile: toPartFile(files),
	});
	const lastLine = text.trimEnd().split('\n').length;
	const faults = [
		...(parsed.isErr() ? parsed.error.map(fault => toFileFault(files, fault)) : []),
		// A missing end is already among the faults of the content.
		...(seal.isErr() && (seal.error.kind !== 'incomplete' || parsed.isOk()) ? [toDocumentFault(files.file, lastLine, seal.error.message)] : []),
		...toSizeFaults(files, lastLine),
	];
	if (parsed.isErr() || seal.isErr() || faults.length > 0) {
		return err({kind: 'faults', faults});
	}

	const texts = [text, ...[...files.parts?.values() ?? []].map(part => part.text)];
	return ok({
		text,
		bytes: texts.reduce((sum, part) => sum + Buffer.byteLength(part), 0),
		parts: files.parts?.size ?? 0,
		seal: seal.value,
		config: parsed.value,
	});
}

/** Checks the size of a document in one file. Of a document in parts the sealed files count, and `seal` checks their size. */
function toSizeFaults({file, text, parts}: DocumentFiles, lastLine: number): readonly ConfigFault[] {
	if (parts) {
		return [];
	}

	const bytes = Buffer.byteLength(text);
	const isLargeYaml = bytes > maxYamlBytes && !text.trimStart().startsWith('{');
	const largeRemedy = 'name workspaces in lists, share routes, or split it with "banyanport split"';
	return [
		...(bytes > maxDocumentBytes ? [toDocumentFault(file, lastLine, `the document has ${bytes} bytes and the platform holds ${maxDocumentBytes}: ${largeRemedy}`)] : []),
		...(isLargeYaml ? [toDocumentFault(file, lastLine, `the YAML has ${bytes} bytes and hosts read at most ${maxYamlBytes}: publish it as JSON, written by "banyanport seal --to json"`)] : []),
	];
}

/**
 * Reports why a document can't be used, and ends the command with it.
 *
 * @param io - Output.
 * @param file - Path of the document.
 * @param failure - Why it can't be used.
 * @param json - Whether to write JSON.
 * @returns 1 with the faults written, or the failure to access the file.
 */
export function reportReadFailure(io: CliIo, file: string, failure: ReadConfigFailure, json: boolean): CommandResult {
	if (failure.kind === 'access') {
		return err(failure.failure);
	}

	const {faults} = failure;
	io.write(json ? toJsonText({file, valid: false, faults}) : toFaultText(file, faults));
	return ok(exitCodes.faults);
}

/** Creates a fault of the whole document from a message that has its remedy after the first colon. */
function toDocumentFault(file: string, line: number, message: string): ConfigFault {
	const [problem, ...remedy] = message.split(': ');
	return {
		file, line, column: 1, problem: problem!, remedy: remedy.join(': '),
	};
}

/**
 * Formats faults as text, one a line, followed by their number.
 *
 * @param file - File in which they are.
 * @param faults - The faults.
 * @returns Text that ends with a line break.
 */
export function toFaultText(file: string, faults: readonly ConfigFault[]): string {
	const count = faults.length === 1 ? '1 fault' : `${faults.length} faults`;
	return `${faults.map(fault => toFaultLine(fault)).join('\n')}\n${file}: ${count}\n`;
}
