/** Datagrams between hosts: an array in CBOR whose first item is the number of its format. */
import {Encoder} from 'cbor-x';
import {err, ok, type Result} from 'neverthrow';
import * as v from 'valibot';

const codec = new Encoder({useRecords: false, mapsAsObjects: true});

/** Position of the format in a datagram: an array of fewer than 24 items begins with one byte. */
const formatAt = 1;

/**
 * @param bytes - A datagram.
 * @returns Its format, by which a socket tells kinds of messages apart; any number for other bytes.
 */
export const toFormat = (bytes: Uint8Array): number | undefined => bytes[formatAt];

/**
 * @param row - Items of a message, the format first.
 * @returns One datagram.
 */
export const encodeRow = (row: readonly unknown[]): Uint8Array => codec.encode(row);

/**
 * Decodes and validates a datagram from any sender.
 *
 * @param bytes - The datagram.
 * @param schema - Items that it must have.
 * @returns The items, or the reason why they are invalid.
 */
export function decodeRow<Schema extends v.GenericSchema>(bytes: Uint8Array, schema: Schema): Result<v.InferOutput<Schema>, string> {
	let value: unknown;
	try {
		value = codec.decode(bytes);
	} catch {
		return err('not CBOR');
	}

	const parsed = v.safeParse(schema, value);
	return parsed.success ? ok(parsed.output) : err(v.summarize(parsed.issues));
}
