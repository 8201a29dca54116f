/**
 * Reads an idempotency key. Keys are UUIDs of version 7 (RFC 9562), which contain
 * the time of their creation.
 */
import {type Result, err, ok} from 'neverthrow';
import {validate, version} from 'uuid';
import {type Milliseconds} from '../../ports/clock.js';

const wantedVersion = 7;
const timeDigits = 12;

export type IdempotencyKey = {
	/** The UUID in lower case, so that upper and lower case spellings are the same key. */
	key: string;
	/** Time of creation by the caller's clock, milliseconds since the Unix epoch. */
	mintedAt: Milliseconds;
};

export type IdempotencyKeyFault = {
	kind: 'missing' | 'malformed' | 'wrong-version';
	message: string;
};

/**
 * Parses the value of an `Idempotency-Key` header. Surrounding white space and
 * quotes (the header is a structured-field string in its draft) are dropped.
 *
 * @param text - The header's value, `undefined` when absent.
 * @returns The key and its time of creation, or why the value is not a valid key.
 *
 * @example
 * ```ts
 * parseIdempotencyKey('01890A5D-AC96-774B-BCCE-B302099A8057')._unsafeUnwrap();
 * // => {key: '01890a5d-ac96-774b-bcce-b302099a8057', mintedAt: 1688169491606}
 * ```
 */
export function parseIdempotencyKey(text: string | undefined): Result<IdempotencyKey, IdempotencyKeyFault> {
	const key = (text ?? '').trim().replace(/^"(?<inner>.*)"$/v, '$<inner>').toLowerCase();
	if (key === '') {
		return err({kind: 'missing', message: 'The header Idempotency-Key is missing: send a UUID of version 7, a new one for each piece of work.'});
	}

	if (!validate(key)) {
		return err({kind: 'malformed', message: 'Idempotency-Key is not a UUID: send one of version 7, such as 01890a5d-ac96-774b-bcce-b302099a8057.'});
	}

	if (version(key) !== wantedVersion) {
		return err({kind: 'wrong-version', message: `Idempotency-Key is a UUID of version ${version(key)}: send one of version 7, whose age can be read from it.`});
	}

	const mintedAt = Number.parseInt(key.replaceAll('-', '').slice(0, timeDigits), 16);
	return ok({key, mintedAt});
}
