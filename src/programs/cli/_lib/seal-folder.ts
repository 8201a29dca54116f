/** Seals a document in parts into a folder, and lists what to publish in which order. */
import path from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {isRecord} from '../../../_lib/is-record/index.js';
import {readPlainValues} from '../../../domain/parse-config/index.js';
import {type SealFailure} from '../../../domain/seal-config/index.js';
import {sealParts, type SealedParts} from '../../../domain/seal-parts/index.js';
import {toPartKey} from '../../../domain/to-part-key/index.js';
import {type AccessFailure, type CliIo} from './io.js';
import {type DocumentFiles, toPartFile} from './read-folder.js';

export type PublishStep = {key: string; file: string};

/**
 * Seals a document in parts.
 *
 * @param files - Root and parts.
 * @param previous - Text of the document in force or of its root.
 * @returns Root and parts, or why it can't be sealed.
 */
export function sealFiles(files: DocumentFiles, previous: string | undefined): Result<SealedParts, SealFailure> {
	return sealParts(files.text, name => files.parts?.get(name)?.text, previous, {file: files.file, toPartFile: toPartFile(files)});
}

/**
 * Writes a sealed document into a folder.
 *
 * @param io - Writes files.
 * @param folder - Folder for the files; created if it does not exist.
 * @param sealed - The document.
 * @returns Nothing, or why a file could not be written.
 */
export async function writeSealed(io: CliIo, folder: string, sealed: SealedParts): Promise<Result<void, AccessFailure>> {
	const made = await io.makeFolder(folder);
	if (made.isErr()) {
		return err(made.error);
	}

	// The root is written last: without it, a folder that was only partly written can't be taken for the whole document.
	for (const {name, text} of [...sealed.parts, {name: 'root', text: sealed.text}]) {
		const written = await io.writeText(toFile(folder, name), text);
		if (written.isErr()) {
			return err(written.error);
		}
	}

	return ok();
}

/**
 * Lists what to publish, in order.
 *
 * @param folder - Where the sealed document was written.
 * @param sealed - The document.
 * @param previous - Text of the root in force, whose parts are on the platform already.
 * @returns Keys and files: parts that are new, then the root.
 */
export function toPublishSteps(folder: string, sealed: SealedParts, previous: string | undefined): readonly PublishStep[] {
	const list = previous === undefined ? undefined : readPlainValues(previous)?.parts;
	const known = new Set(Array.isArray(list) ? list.flatMap((part: unknown) => isRecord(part) ? [`${String(part.name)} ${String(part.sha256)}`] : []) : []);
	const newParts = sealed.parts.filter(({name, sha256}) => !known.has(`${name} ${sha256}`));
	return [...newParts.map(part => ({key: toPartKey(part), file: toFile(folder, part.name)})), {key: 'config', file: toFile(folder, 'root')}];
}

function toFile(folder: string, name: string): string {
	return path.join(folder, `${name}.json`);
}
