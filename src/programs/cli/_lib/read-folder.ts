/** Reads a document with its parts, which are in one folder: `root.yaml` or `root.json`, and a file for each part under the part's name. */
import path from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {readPlainValues, type ConfigFault} from '../../../domain/parse-config/index.js';
import {isRecord} from '../../../_lib/is-record/index.js';
import {toDigest} from '../../../_lib/to-digest/index.js';
import {type FindPart} from '../../../ports/config.js';
import {type AccessFailure, type CliIo} from './io.js';

const extensions = ['.yaml', '.yml', '.json'] as const;

export type TextFile = {file: string; text: string};

export type DocumentFiles = TextFile & {
	/** Files of its parts by name; `undefined` for a document in one file. Parts without a file are left out. */
	parts: ReadonlyMap<string, TextFile> | undefined;
};

/**
 * Reads the files of a document.
 *
 * @param io - Reads files.
 * @param given - A document in one file, a root document, or the folder of one; `-` for the standard input.
 * @returns The texts, or what can't be read.
 */
export async function readDocumentFiles(io: CliIo, given: string): Promise<Result<DocumentFiles, AccessFailure>> {
	const root = await readRoot(io, given);
	if (root.isErr()) {
		return err(root.error);
	}

	const names = toPartNames(root.value.text);
	if (!names) {
		return ok({...root.value, parts: undefined});
	}

	const parts = new Map<string, TextFile>();
	for (const name of names) {
		const part = await readWithAnyExtension(io, path.join(path.dirname(root.value.file), name));
		if (part.isErr()) {
			return err(part.error);
		}

		if (part.value) {
			parts.set(name, part.value);
		}
	}

	return ok({...root.value, parts});
}

/** Reads the root. The given path may be a file or a folder; when it is neither, the failure of reading it as a file is returned. */
async function readRoot(io: CliIo, given: string): Promise<Result<TextFile, AccessFailure>> {
	const text = await io.readText(given);
	if (text.isOk() || given === '-') {
		return text.map(value => ({file: given, text: value}));
	}

	const root = await readWithAnyExtension(io, path.join(given, 'root'));
	return root.andThen(found => found ? ok(found) : err(text.error));
}

/** Refuses two files for one part, as an edit may be in one of them and not in the other. */
async function readWithAnyExtension(io: CliIo, base: string): Promise<Result<TextFile | undefined, AccessFailure>> {
	const found: TextFile[] = [];
	for (const ending of extensions) {
		const text = await io.readText(base + ending);
		if (text.isOk()) {
			found.push({file: base + ending, text: text.value});
		}
	}

	return found.length > 1
		? err({message: `there are both ${found[0]!.file} and ${found[1]!.file}: keep the one that is meant`})
		: ok(found[0]);
}

/** Lists the names of parts. Names that could lead out of the folder are left out here and reported among the faults of the document. */
function toPartNames(text: string): readonly string[] | undefined {
	const list = /\bparts"?\s*:/.test(text) ? readPlainValues(text)?.parts : undefined;
	if (!Array.isArray(list)) {
		return undefined;
	}

	const names = list.map((part: unknown) => isRecord(part) ? part.name : part);
	return names.filter(name => typeof name === 'string').filter(name => /^[\w-]+$/.test(name));
}

/**
 * Creates a function that finds parts among files. A sealed root names the
 * digests of its parts, so a file that was changed after sealing is not found.
 *
 * @param files - Files of a document.
 * @returns A function for `parseConfig`.
 */
export function createPartFinder({parts}: DocumentFiles): FindPart {
	return ({name, sha256}) => {
		const text = parts?.get(name)?.text;
		return text !== undefined && (sha256 === '' || toDigest(text) === sha256) ? text : undefined;
	};
}

/**
 * Creates a function that names the file of a part.
 *
 * @param files - Files of a document.
 * @returns A function for `parseConfig`; for a part without a file it gives the name that the file would have.
 */
export function toPartFile({file, parts}: DocumentFiles): (name: string) => string {
	return name => parts?.get(name)?.file ?? path.join(path.dirname(file), `${name}.json`);
}

/**
 * Rewords the fault of a missing part to say what to do with its file, instead of what to publish.
 *
 * @param files - Files of a document.
 * @param fault - A fault of the document.
 * @returns The fault, reworded if it is about a missing part.
 */
export function toFileFault(files: DocumentFiles, fault: ConfigFault): ConfigFault {
	if (!fault.missing || fault.missing.sha256 === '') {
		return fault;
	}

	const {name} = fault.missing;
	const file = toPartFile(files)(name);
	const problem = files.parts?.has(name) ? `${file} is not the part ${JSON.stringify(name)} that this sealed root names` : `the part ${JSON.stringify(name)} is not there: no file ${file}`;
	return {...fault, problem, remedy: 'seal the folder again with "banyanport seal", or put the file back'};
}
