/** Seals a root document with its parts, so that hosts detect a part that is lost, altered or from another edition. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {addPlainEnd, splitConfigEnd} from '../../_lib/split-config-end/index.js';
import {toDigest} from '../../_lib/to-digest/index.js';
import {type ConfigPart, type NamedPart} from '../../ports/config.js';
import {checkSeal} from '../check-seal/index.js';
import {parseConfig, type ParseConfigOptions, readPlainValues} from '../parse-config/index.js';
import {addSeal, type SealedConfig, type SealFailure} from '../seal-config/index.js';
import {toConfigBody} from '../to-config-body/index.js';

export type SealedParts = SealedConfig & {
	/** Parts in the order of the root, in JSON with one entry per line. */
	parts: readonly ConfigPart[];
};

/**
 * Seals a root with its parts. The root names each part with digest and length, and
 * the seal of the root covers these, so the digest of the root identifies the whole
 * document.
 *
 * @param root - The root document, YAML or JSON, which names the parts with or without digests.
 * @param findText - Returns the text of a part by name, YAML or JSON.
 * @param previous - Text of the document in force, or of its root; `undefined` for the first.
 * @param options - Names of the files for faults.
 * @returns Root and parts, of which the parts must be published first; or why the document can't be sealed.
 *
 * @example
 * ```ts
 * const {text, parts} = sealParts(root, name => files.get(name), inForce)._unsafeUnwrap();
 * for (const part of parts) publish(toPartKey(part), part.text);
 * publish('config', text);
 * ```
 */
export function sealParts(
	root: string,
	findText: (name: string) => string | undefined,
	previous: string | undefined,
	options: Omit<ParseConfigOptions, 'findPart' | 'isSource'> = {},
): Result<SealedParts, SealFailure> {
	const end = splitConfigEnd(root);
	const plain = end.kind === 'missing' ? root : addPlainEnd(end.body, end.format);
	const parsed = parseConfig(plain, {
		...options, maxYamlBytes: Infinity, isSource: true, findPart: ({name}) => findText(name),
	});
	if (parsed.isErr()) {
		return err({kind: 'invalid', message: 'the document has faults and was not sealed', faults: parsed.error});
	}

	const previousEdition = previous === undefined ? ok(0) : checkSeal(previous).map(seal => seal.edition);
	if (previousEdition.isErr()) {
		return err({kind: 'previous-broken', message: `the document to follow can't be used: ${previousEdition.error.message}`, faults: []});
	}

	const values = readPlainValues(plain)!;
	const parts = toNames(values.parts).map(name => toPart(name, findText(name)!));
	const named = parts.map(({name, sha256, bytes}): NamedPart => ({name, sha256, bytes}));
	const edition = previousEdition.value + 1;
	const follows = previous === undefined ? undefined : toDigest(previous);
	const text = addSeal(toConfigBody({...values, parts: named}), 'json', edition, follows ?? 'none');
	// Read the result as hosts will: sizes, which hosts limit, are known only after sealing.
	const texts = new Map(parts.map(part => [part.sha256, part.text]));
	return parseConfig(text, {...options, findPart: ({sha256}) => texts.get(sha256)})
		.map(() => ({
			text, edition, follows, digest: toDigest(text), parts,
		}))
		.mapErr((faults): SealFailure => ({kind: 'invalid', message: 'hosts would refuse the sealed document', faults}));
}

function toNames(list: unknown): readonly string[] {
	return (list as ReadonlyArray<string | NamedPart>).map(part => typeof part === 'string' ? part : part.name);
}

/** Writes a part in canonical form, so that the same entries give the same digest whether they were written in YAML or JSON. */
function toPart(name: string, source: string): ConfigPart {
	const text = addPlainEnd(toConfigBody(readPlainValues(source)!), 'json');
	return {
		name, sha256: toDigest(text), bytes: Buffer.byteLength(text), text,
	};
}
