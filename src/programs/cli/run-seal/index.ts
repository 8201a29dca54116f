/** `banyanport seal`: writes a complete document with edition, predecessor and digest. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {parseConfig} from '../../../domain/parse-config/index.js';
import {sealConfig, type SealedConfig, type SealFailure} from '../../../domain/seal-config/index.js';
import {toConfigText} from '../../../domain/to-config-text/index.js';
import {splitConfigEnd, addPlainEnd} from '../../../_lib/split-config-end/index.js';
import {
	type CliIo, type CommandResult, exitCodes, toJsonText,
} from '../_lib/io.js';
import {maxDocumentBytes, toFaultText} from '../_lib/read-config.js';

export type RunSealOptions = {
	/** File of the document in force; without it the result is edition 1. */
	follows: string | undefined;
	/** Where the sealed document goes; the standard output without it. */
	output: string | undefined;
	/** Writes JSON whatever the input is. */
	to: 'json' | undefined;
	json: boolean;
};

/**
 * Seals a document.
 *
 * @param io - Input and output.
 * @param file - Path of the document, or `-`.
 * @param options - What it follows and where it goes.
 * @returns 0 when it was written, 1 when it has faults.
 */
export async function runSeal(io: CliIo, file: string, options: RunSealOptions): Promise<CommandResult> {
	const [text, previous] = [await io.readText(file), options.follows === undefined ? ok(undefined) : await io.readText(options.follows)];
	if (text.isErr() || previous.isErr()) {
		return err(text.isErr() ? text.error : previous._unsafeUnwrapErr());
	}

	const sealed = seal(text.value, previous.value, file, options.to);
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

/** A document with faults is returned as it is, so that its faults have their own lines. */
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

	const place = rest.follows === undefined ? 'follows nothing; name the document in force with --follows if there is one' : `follows ${rest.follows.slice(0, 12)}`;
	io.writeError(`sealed as edition ${rest.edition}, ${place}${output === undefined ? '' : `; written to ${output}`}\n`);
}

function writeFailure(io: CliIo, file: string, {json}: RunSealOptions, failure: SealFailure): void {
	if (json) {
		io.write(toJsonText({file, sealed: false, ...failure}));
		return;
	}

	io.writeError(`${failure.faults.length > 0 ? toFaultText(file, failure.faults) : ''}${file}: ${failure.message}\n`);
}
