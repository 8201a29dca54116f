/** Seals a configuration document, so that hosts detect any lost or changed content. */
import {err, ok, type Result} from 'neverthrow';
import {splitConfigEnd, addPlainEnd, type ConfigFormat} from '../../_lib/split-config-end/index.js';
import {toDigest} from '../../_lib/to-digest/index.js';
import {checkSeal} from '../check-seal/index.js';
import {type ConfigFault, parseConfig, type ParseConfigOptions} from '../parse-config/index.js';

export type SealedConfig = {
	/** The complete sealed document. */
	text: string;
	edition: number;
	/** SHA-256 of the document that this one follows; `undefined` for the first. */
	follows: string | undefined;
	/** SHA-256 of the sealed document. */
	digest: string;
};

/**
 * - `invalid`: the document to seal has faults.
 * - `previous-broken`: the document to follow is not whole, so its edition can't be trusted.
 */
export type SealFailure = {
	kind: 'invalid' | 'previous-broken';
	message: string;
	faults: readonly ConfigFault[];
};

/**
 * Seals a document. A seal or edition that the document already has is replaced.
 *
 * @param text - A valid document, either plain or sealed and edited afterwards.
 * @param previous - Text of the document in force, whose edition this one follows; `undefined` for the first.
 * @param options - Name of the file for faults.
 * @returns The sealed document, or why it can't be sealed.
 *
 * @example
 * ```ts
 * const first = sealConfig(text, undefined)._unsafeUnwrap();
 * first.edition; // => 1
 * sealConfig(edited, first.text)._unsafeUnwrap().edition; // => 2
 * ```
 */
export function sealConfig(text: string, previous: string | undefined, options: ParseConfigOptions = {}): Result<SealedConfig, SealFailure> {
	const end = splitConfigEnd(text);
	const plain = end.kind === 'missing' ? text : addPlainEnd(end.body, end.format);
	const parsed = parseConfig(plain, options);
	if (parsed.isErr()) {
		return err({kind: 'invalid', message: 'the document has faults and was not sealed', faults: parsed.error});
	}

	const previousEdition = previous === undefined ? ok(0) : checkSeal(previous).map(seal => seal.edition);
	if (previousEdition.isErr()) {
		return err({kind: 'previous-broken', message: `the document to follow can't be used: ${previousEdition.error.message}`, faults: []});
	}

	const edition = previousEdition.value + 1;
	const follows = previous === undefined ? undefined : toDigest(previous);
	const body = end.kind === 'missing' ? text : end.body;
	const sealed = addSeal(body, end.format, edition, follows ?? 'none');
	return ok({
		text: sealed, edition, follows, digest: toDigest(sealed),
	});
}

/**
 * Appends a seal to the body of a document.
 *
 * @param body - Text of the document without its end.
 * @param format - Format of the body.
 * @param edition - Edition of the document.
 * @param follows - SHA-256 of the document that this one follows, or `none`.
 * @returns The whole document.
 */
export function addSeal(body: string, format: ConfigFormat, edition: number, follows: string): string {
	if (format === 'json') {
		const covered = `${body},\n"edition": ${edition},\n"follows": "${follows}",\n"end": "sealed-`;
		return `${covered}${toDigest(covered)}"}\n`;
	}

	const covered = `${body}edition: ${edition}\nfollows: ${follows}\nend: sealed-`;
	return `${covered}${toDigest(covered)}\n`;
}
