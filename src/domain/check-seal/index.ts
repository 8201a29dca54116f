/** Checks by the seal or the plain end mark that a configuration document is whole. */
import {err, ok, type Result} from 'neverthrow';
import {splitConfigEnd} from '../../_lib/split-config-end/index.js';
import {toDigest} from '../../_lib/to-digest/index.js';

/** Values from the end of a whole document. */
export type ConfigSeal = {
	kind: 'sealed' | 'plain';
	/** Edition from the seal, or written by hand in a plain document; 0 when the document has none. */
	edition: number;
	/** SHA-256 of the document that a sealed document follows; `undefined` for the first edition and for plain documents. */
	follows: string | undefined;
};

/**
 * - `incomplete`: the end mark is missing, so the document was cut off or is unfinished.
 * - `altered`: the seal does not match the text.
 * - `not-text`: the bytes were not valid UTF-8.
 */
export type SealFault = {
	kind: 'incomplete' | 'altered' | 'not-text';
	message: string;
};

/** Character by which a decoder replaces invalid UTF-8. Different bytes are replaced by the same character, so a digest of the decoded text would not detect such a change. */
const replacementCharacter = '\uFFFD';

/**
 * Checks that a document is whole and, when sealed, unaltered. `parseConfig`
 * checks the content.
 *
 * @param text - The document as received.
 * @returns The values from the document's end, or why the document is not whole.
 *
 * @example
 * ```ts
 * checkSeal('zones: []\nend: banyanport\n')._unsafeUnwrap(); // => {kind: 'plain', edition: 0, follows: undefined}
 * ```
 */
export function checkSeal(text: string): Result<ConfigSeal, SealFault> {
	if (text.includes(replacementCharacter)) {
		return err({kind: 'not-text', message: 'the document is not valid UTF-8: save it as UTF-8 and publish it again'});
	}

	const end = splitConfigEnd(text);
	switch (end.kind) {
		case 'missing': {
			return err({kind: 'incomplete', message: 'the document has no end mark as its last line, so part of it may be missing: publish the whole document'});
		}

		case 'plain': {
			return ok({kind: 'plain', edition: end.edition, follows: undefined});
		}

		case 'sealed': {
			return toDigest(end.covered) === end.digest
				? ok({kind: 'sealed', edition: end.edition, follows: end.follows === 'none' ? undefined : end.follows})
				: err({kind: 'altered', message: 'the document was changed after it was sealed: seal it again with "banyanport seal"'});
		}
	}
}
