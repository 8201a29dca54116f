/** Tells whether a configuration document is whole, by its seal or its plain end mark. */
import {err, ok, type Result} from 'neverthrow';
import {splitConfigEnd} from '../../_lib/split-config-end/index.js';
import {toDigest} from '../../_lib/to-digest/index.js';

/** What the end of a whole document says. */
export type ConfigSeal = {
	kind: 'sealed' | 'plain';
	/** Edition sealed in, or written by hand in a plain document; 0 when it has none. */
	edition: number;
	/** SHA-256 of the text that a sealed document follows; `undefined` for the first one and for plain documents. */
	follows: string | undefined;
};

/**
 * - `incomplete`: the end is missing, so the document was cut off or is half finished.
 * - `altered`: the seal does not fit the text.
 * - `not-text`: the bytes were no UTF-8.
 */
export type SealFault = {
	kind: 'incomplete' | 'altered' | 'not-text';
	message: string;
};

/** What a decoder puts in the place of bytes that are no UTF-8. Different bytes become this one character, so a digest of the text can't tell them apart. */
const replacementCharacter = '\uFFFD';

/**
 * Checks that a document is whole and, when sealed, unaltered. Its content is
 * `parseConfig`'s to check.
 *
 * @param text - The document as it came.
 * @returns What its end says, or why it is not whole.
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
