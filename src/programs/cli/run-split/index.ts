/** `banyanport split`: splits a document in one file into a folder with a root and parts. */
import path from 'node:path';
import {err, ok} from 'neverthrow';
import {splitConfig} from '../../../domain/split-config/index.js';
import {
	type CliIo, type CommandResult, exitCodes, toJsonText,
} from '../_lib/io.js';
import {toFaultText} from '../_lib/read-config.js';

export type RunSplitOptions = {
	/** Number of entries in each part. */
	entries: number;
	/** Folder for root and parts. */
	output: string;
	json: boolean;
};

/**
 * Splits a document.
 *
 * @param io - Input and output.
 * @param file - Path of the document, or `-`.
 * @param options - Size of the parts and where they are written.
 * @returns 0 when it was written, 1 when it has faults.
 */
export async function runSplit(io: CliIo, file: string, {entries, output, json}: RunSplitOptions): Promise<CommandResult> {
	const text = await io.readText(file);
	if (text.isErr()) {
		return err(text.error);
	}

	const split = splitConfig(text.value, (_, position) => position % entries === 0, {file});
	if (split.isErr()) {
		io.write(json ? toJsonText({file, split: false, faults: split.error}) : toFaultText(file, split.error));
		return ok(exitCodes.faults);
	}

	const {root, parts} = split.value;
	const made = await io.makeFolder(output);
	if (made.isErr()) {
		return err(made.error);
	}

	for (const part of [...parts, {name: 'root', text: root}]) {
		const written = await io.writeText(path.join(output, `${part.name}.json`), part.text);
		if (written.isErr()) {
			return err(written.error);
		}
	}

	const names = parts.map(({name}) => name);
	const next = `edit them there, then "banyanport seal ${output} --output <another folder>"`;
	io.write(json
		? toJsonText({
			file, split: true, output, parts: names,
		})
		: `${file}: a root and ${names.length} parts are in ${output}; ${next}\n`);
	return ok(exitCodes.fine);
}
