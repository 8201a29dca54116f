/** Messages between hosts about the origins of streams, one UDP datagram each. */
import {type Result} from 'neverthrow';
import * as v from 'valibot';
import {decodeRow, encodeRow} from '../_lib/datagram-rows/index.js';
import {
	type KnownOrigin, type OriginMessage, type OriginRecord, type StreamOrigin,
} from '../../ports/stream-origins.js';
import {msPerMinute, msPerSecond} from '../../ports/units.js';

/** Format number, the first item of each datagram, by which a socket tells these messages from others. */
export const originFormat = 18;

const maxNameLength = 128;
const maxRecords = 64;

/** Longest life that another host may give a record, seconds. */
const maxLifeSeconds = 10 * msPerMinute / msPerSecond;

/** Kinds of messages as sent: hosts send some of them for each stream, so they are short. */
const sentKinds = {records: 'r', ask: 'q', answer: 'a'} as const;

const ambiguous = 'ambiguous';

const name = v.pipe(v.string(), v.maxLength(maxNameLength));
const key = v.pipe(v.string(), v.regex(/^[\w\-]{16}$/v));
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
/** A pool and a software version; servers that publish none have `null`. */
const origin = v.tuple([name, v.nullable(name)]);
const lifeSeconds = v.pipe(count, v.maxValue(maxLifeSeconds));
const schema = v.union([
	v.tuple([v.literal(originFormat), v.literal(sentKinds.records), v.pipe(v.array(v.tuple([key, origin, lifeSeconds])), v.maxLength(maxRecords))]),
	v.tuple([v.literal(originFormat), v.literal(sentKinds.ask), count, key]),
	v.tuple([v.literal(originFormat), v.literal(sentKinds.answer), count, v.union([origin, v.literal(ambiguous), v.null()])]),
]);

type OriginRow = v.InferOutput<typeof origin>;

const toOriginRow = ({pool, softwareVersion}: StreamOrigin): OriginRow => [pool, softwareVersion ?? null];

const toRecordRow = ({key: ofStream, origin: began, lifeMs}: OriginRecord) => [ofStream, toOriginRow(began), Math.min(maxLifeSeconds, Math.ceil(lifeMs / msPerSecond))];

function toKnownItem(known: KnownOrigin | undefined): OriginRow | typeof ambiguous | null {
	if (known === undefined) {
		return null;
	}

	return known === ambiguous ? known : toOriginRow(known);
}

function toRow(message: OriginMessage): unknown[] {
	switch (message.kind) {
		case 'records': {
			return [sentKinds.records, message.records.map(record => toRecordRow(record))];
		}

		case 'ask': {
			return [sentKinds.ask, message.id, message.key];
		}

		case 'answer': {
			return [sentKinds.answer, message.id, toKnownItem(message.known)];
		}
	}
}

/**
 * Encodes a message.
 *
 * @param message - The message.
 * @returns One datagram.
 */
export function encodeOriginMessage(message: OriginMessage): Uint8Array {
	return encodeRow([originFormat, ...toRow(message)]);
}

const toOrigin = ([pool, softwareVersion]: OriginRow): StreamOrigin => ({pool, softwareVersion: softwareVersion ?? undefined});

function toKnown(item: OriginRow | typeof ambiguous | null): KnownOrigin | undefined {
	if (item === null) {
		return undefined;
	}

	return item === ambiguous ? item : toOrigin(item);
}

function toMessage(row: v.InferOutput<typeof schema>): OriginMessage {
	switch (row[1]) {
		case sentKinds.records: {
			return {kind: 'records', records: row[2].map(([ofStream, began, seconds]) => ({key: ofStream, origin: toOrigin(began), lifeMs: seconds * msPerSecond}))};
		}

		case sentKinds.ask: {
			return {kind: 'ask', id: row[2], key: row[3]};
		}

		case sentKinds.answer: {
			return {kind: 'answer', id: row[2], known: toKnown(row[3])};
		}
	}
}

/**
 * Decodes and validates a datagram from any sender.
 *
 * @param bytes - The datagram.
 * @returns The message, or the reason why it is invalid.
 */
export function decodeOriginMessage(bytes: Uint8Array): Result<OriginMessage, string> {
	return decodeRow(bytes, schema).map(row => toMessage(row));
}
