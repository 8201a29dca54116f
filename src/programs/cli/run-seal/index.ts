/** `banyanport seal`: writes a complete document with edition, predecessor and digest, in one file or in parts. */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {parseConfig} from '../../../domain/parse-config/index.js';
import {sealConfig, type SealedConfig, type SealFailure} from '../../../domain/seal-config/index.js';
import {toConfigText} from '../../../domain/to-config-text/index.js';
import {splitConfigEnd, addPlainEnd} from '../../../_lib/split-config-end/index.js';
import {
	type AccessFailure, type CliIo, type CommandResult, exitCodes, toJsonText,
} from '../_lib/io.js';
import {maxDocumentBytes, toFaultText} from '../_lib/read-config.js';
import {readDocumentFiles, type DocumentFiles} from '../_lib/read-folder.js';
import {sealFiles, toPublishSteps, writeSealed} from '../_lib/seal-folder.js';

export type RunSealOptions = {
	/** File of the document in force; without it the result is edition 1. */
	follows: string | undefined;
	/** File for the sealed document; without it the document goes to the standard output. A document in parts needs it, as a folder. */
	output: string | undefined;
	/** Writes JSON regardless of the input; parts are always written as JSON. */
	to: 'json' | undefined;
	json: boolean;
};

/**
 * Seals a document.
 *
 * @param io - Input and output.
 * @param file - Path of the document, or of the root or folder of one in parts; or `-`.
 * @param options - What it follows and where it goes.
 * @returns 0 when it was written, 1 when it has faults.
 */
export async function runSeal(io: CliIo, file: string, options: RunSealOptions): Promise<CommandResult> {
	const read = await readDocumentFiles(io, file);
	const previous = await readPrevious(io, options.follows);
	if (read.isErr() || previous.isErr()) {
		return err(read.isErr() ? read.error : previous._unsafeUnwrapErr());
	}

	if (read.value.parts) {
		return runSealParts(io, read.value, previous.value, options);
	}

	const sealed = seal(read.value.text, previous.value, file, options.to);
	if (sealed.isErr()) {
		writeFailure(io, file, options, sealed.error);
		return ok(exitCodes.faults);
	}

	if (options.output !== undefined) {
		const written = await io.writeText(options.output, sealed.value.text);
		if (written.isErr()) {
			return err(written.error);
		}
	}

	writeSuccess(io, options, sealed.value);
	return ok(exitCodes.fine);
}

async function readPrevious(io: CliIo, follows: string | undefined): Promise<Result<string | undefined, AccessFailure>> {
	if (follows === undefined) {
		return ok(undefined);
	}

	const files = await readDocumentFiles(io, follows);
	return files.map(({text}) => text);
}

async function runSealParts(io: CliIo, files: DocumentFiles, previous: string | undefined, options: RunSealOptions): Promise<CommandResult> {
	const {output, json} = options;
	if (output === undefined || path.resolve(output) === path.resolve(path.dirname(files.file))) {
		io.writeError(`${files.file} has parts: name a folder of its own for the sealed files with --output\n`);
		return ok(exitCodes.usage);
	}

	const sealed = sealFiles(files, previous);
	if (sealed.isErr()) {
		writeFailure(io, files.file, options, sealed.error);
		return ok(exitCodes.faults);
	}

	const written = await writeSealed(io, output, sealed.value);
	if (written.isErr()) {
		return err(written.error);
	}

	const {edition, follows, digest, parts} = sealed.value;
	const publish = toPublishSteps(output, sealed.value, previous);
	if (json) {
		io.write(toJsonText({
			edition, follows, digest, output, publish,
		}));
		return ok(exitCodes.fine);
	}

	const unchangedCount = parts.length + 1 - publish.length;
	io.writeError(`sealed as edition ${edition}, ${toFollowsText(follows)}; written to ${output}\n`);
	io.write([
		'publish in this order, the root last:',
		...publish.map(step => `  ${step.key}  ${step.file}`),
		...(unchangedCount > 0 ? [`${unchangedCount} other parts are the same as in the document that it follows, and are on the platform already`] : []),
		'',
	].join('\n'));
	return ok(exitCodes.fine);
}

function seal(text: string, previous: string | undefined, file: string, to: 'json' | undefined): Result<SealedConfig, SealFailure> {
	const sealed = to === 'json' ? sealConfig(toJson(text), previous, {file, maxYamlBytes: Infinity}) : sealConfig(text, previous, {file});
	return sealed.andThen(result => {
		const bytes = Buffer.byteLength(result.text);
		return bytes <= maxDocumentBytes
			? ok(result)
			: err<SealedConfig, SealFailure>({
				kind: 'invalid',
				message: `the sealed document would have ${bytes} bytes and the platform holds ${maxDocumentBytes}: name workspaces in lists and share routes`,
				faults: [],
			});
	});
}

/** Converts a document to JSON. One with faults is returned unchanged, so that its faults are reported at their own lines. */
function toJson(text: string): string {
	const end = splitConfigEnd(text);
	const plain = end.kind === 'missing' ? text : addPlainEnd(end.body, end.format);
	return parseConfig(plain, {maxYamlBytes: Infinity}).map(config => toConfigText(config)).unwrapOr(text);
}

function writeSuccess(io: CliIo, {json, output}: RunSealOptions, {text, ...rest}: SealedConfig): void {
	if (json) {
		io.write(toJsonText(output === undefined ? {...rest, text} : {...rest, output}));
		return;
	}

	if (output === undefined) {
		io.write(text);
	}

	io.writeError(`sealed as edition ${rest.edition}, ${toFollowsText(rest.follows)}${output === undefined ? '' : `; written to ${output}`}\n`);
}

function toFollowsText(follows: string | undefined): string {
	return follows === undefined ? 'follows nothing; name the document in force with --follows if there is one' : `follows ${follows.slice(0, 12)}`;
}

function writeFailure(io: CliIo, file: string, {json}: RunSealOptions, failure: SealFailure): void {
	if (json) {
		io.write(toJsonText({file, sealed: false, ...failure}));
		return;
	}

	io.writeError(`${failure.faults.length > 0 ? toFaultText(file, failure.faults) : ''}${file}: ${failure.message}\n`);
}
