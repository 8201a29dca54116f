/** Messages between hosts about places at servers, one UDP datagram each. */
import {type Result} from 'neverthrow';
import * as v from 'valibot';
import {decodeRow, encodeRow} from '../_lib/datagram-rows/index.js';
import {type PlaceMessage} from '../../ports/places.js';

/** Format number, the first item of each datagram, by which a socket tells these messages from others. */
export const placeFormat = 17;

const maxNameLength = 128;

const name = v.pipe(v.string(), v.maxLength(maxNameLength));
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const schema = v.union([
	v.tuple([v.literal(placeFormat), v.literal('ask'), count, name, count, v.boolean()]),
	v.tuple([v.literal(placeFormat), v.literal('answer'), count, v.boolean(), count]),
	v.tuple([v.literal(placeFormat), v.literal('leave'), count, name]),
]);

function toRow(message: PlaceMessage): unknown[] {
	switch (message.kind) {
		case 'ask': {
			return ['ask', message.id, message.server, message.slots, message.isForced];
		}

		case 'answer': {
			return ['answer', message.id, message.isTaken, message.count];
		}

		case 'leave': {
			return ['leave', message.id, message.server];
		}
	}
}

/**
 * Encodes a message.
 *
 * @param message - The message.
 * @returns One datagram.
 */
export function encodePlaceMessage(message: PlaceMessage): Uint8Array {
	return encodeRow([placeFormat, ...toRow(message)]);
}

function toMessage(row: v.InferOutput<typeof schema>): PlaceMessage {
	switch (row[1]) {
		case 'ask': {
			return {
				kind: 'ask', id: row[2], server: row[3], slots: row[4], isForced: row[5],
			};
		}

		case 'answer': {
			return {
				kind: 'answer', id: row[2], isTaken: row[3], count: row[4],
			};
		}

		case 'leave': {
			return {kind: 'leave', id: row[2], server: row[3]};
		}
	}
}

/**
 * Decodes and validates a datagram from any sender.
 *
 * @param bytes - The datagram.
 * @returns The message, or the reason why it is invalid.
 */
export function decodePlaceMessage(bytes: Uint8Array): Result<PlaceMessage, string> {
	return decodeRow(bytes, schema).map(row => toMessage(row));
}
