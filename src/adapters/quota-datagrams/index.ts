/** Messages between hosts about limits of workspaces, one UDP datagram each. */
import {type Result} from 'neverthrow';
import * as v from 'valibot';
import {decodeRow, encodeRow} from '../_lib/datagram-rows/index.js';
import {type QuotaMessage, type QuotaSpend} from '../../ports/quotas.js';

/** Format number, the first item of each datagram, by which a socket tells these messages from others. */
export const quotaFormat = 16;

const maxNameLength = 128;

const name = v.pipe(v.string(), v.maxLength(maxNameLength));
const address = v.pipe(name, v.regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v));
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const spendItems = [name, v.pipe(v.number(), v.finite()), count, amount, amount] as const;
const schema = v.union([
	v.tuple([v.literal(quotaFormat), v.literal('ask'), ...spendItems, count, address, v.boolean(), v.union([address, v.literal('')]), count]),
	v.tuple([v.literal(quotaFormat), v.literal('verdict'), count, v.boolean(), amount]),
	v.tuple([v.literal(quotaFormat), v.literal('spent'), ...spendItems]),
]);

/** A validated row that begins as rows about use do. */
type SpendRow = readonly [number, string, ...ReturnType<typeof toSpendItems>, ...unknown[]];

const toSpendItems = ({workspace, cost, edition, rate}: QuotaSpend): [string, number, number, number, number] => [workspace, cost, edition, rate.perSecond, rate.burst];

function toSpend(row: SpendRow): QuotaSpend {
	return {
		workspace: row[2], cost: row[3], edition: row[4], rate: {perSecond: row[5], burst: row[6]},
	};
}

function toRow(message: QuotaMessage): unknown[] {
	switch (message.kind) {
		case 'ask': {
			return ['ask', ...toSpendItems(message.spend), message.id, message.origin, message.isFinal, message.successor, message.skipped];
		}

		case 'verdict': {
			return ['verdict', message.id, message.isGranted, message.waitMs];
		}

		case 'spent': {
			return ['spent', ...toSpendItems(message.spend)];
		}
	}
}

/**
 * Encodes a message.
 *
 * @param message - The message.
 * @returns One datagram.
 */
export function encodeQuotaMessage(message: QuotaMessage): Uint8Array {
	return encodeRow([quotaFormat, ...toRow(message)]);
}

function toMessage(row: v.InferOutput<typeof schema>): QuotaMessage {
	switch (row[1]) {
		case 'ask': {
			return {
				kind: 'ask', id: row[7], origin: row[8], spend: toSpend(row), isFinal: row[9], successor: row[10], skipped: row[11],
			};
		}

		case 'verdict': {
			return {
				kind: 'verdict', id: row[2], isGranted: row[3], waitMs: row[4],
			};
		}

		case 'spent': {
			return {kind: 'spent', spend: toSpend(row)};
		}
	}
}

/**
 * Decodes and validates a datagram from any sender.
 *
 * @param bytes - The datagram.
 * @returns The message, or the reason why it is invalid.
 */
export function decodeQuotaMessage(bytes: Uint8Array): Result<QuotaMessage, string> {
	return decodeRow(bytes, schema).map(row => toMessage(row));
}
