/**
 * Binary format of zone summaries: a format byte, then ten bytes for each zone
 * and five for each of its rows. A reader ignores formats that it does not know.
 */
import {fromLogStep, toLogStep} from '../../../_lib/to-log-step/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type StampedRow, type StampedSummary} from '../../pick-newer-summary/index.js';

const format = 1;
const zoneBytes = 10;
const rowBytes = 5;
const maxByte = 255;
const ageUnitMs = 100;

/** Maximum number of rows of one zone in a packet. */
export const maxRows = 32;

/** Rounds a row to the values that the format can hold: free slots down, the wait up. */
export function toRounded({key, servers, free, waitMs}: StampedRow): StampedRow {
	return {
		key,
		servers: Math.min(maxByte, servers),
		free: fromLogStep(toLogStep(free, Math.floor)),
		waitMs: fromLogStep(toLogStep(waitMs, Math.ceil)),
	};
}

function packOne(view: DataView, at: number, {zone, stamp, at: trueAt, rows}: StampedSummary, now: Milliseconds): number {
	view.setUint32(at, zone);
	view.setUint32(at + 4, stamp);
	view.setUint8(at + 8, Math.min(maxByte, Math.max(0, Math.ceil((now - trueAt) / ageUnitMs))));
	view.setUint8(at + 9, rows.length);
	let next = at + zoneBytes;
	for (const {key, servers, free, waitMs} of rows) {
		view.setUint16(next, key);
		view.setUint8(next + 2, servers);
		view.setUint8(next + 3, toLogStep(free));
		view.setUint8(next + 4, toLogStep(waitMs));
		next += rowBytes;
	}

	return next;
}

/**
 * Encodes summaries.
 *
 * @param summaries - Summaries whose rows are rounded already.
 * @param now - Monotonic milliseconds.
 * @returns The bytes.
 */
export function packSummaries(summaries: readonly StampedSummary[], now: Milliseconds): Uint8Array {
	const bytes = new Uint8Array(summaries.reduce((sum, {rows}) => sum + zoneBytes + (rows.length * rowBytes), 1));
	const view = new DataView(bytes.buffer);
	view.setUint8(0, format);
	let at = 1;
	for (const summary of summaries) {
		at = packOne(view, at, summary, now);
	}

	return bytes;
}

function unpackRow(view: DataView, at: number): StampedRow {
	return {
		key: view.getUint16(at), servers: view.getUint8(at + 2), free: fromLogStep(view.getUint8(at + 3)), waitMs: fromLogStep(view.getUint8(at + 4)),
	};
}

/**
 * Decodes summaries.
 *
 * @param bytes - Bytes received from a peer, which may be malformed.
 * @param arrivedAt - Earliest time at which they can have arrived, monotonic milliseconds.
 * @returns The complete summaries in the bytes; none if the format is unknown.
 */
export function unpackSummaries(bytes: Uint8Array, arrivedAt: Milliseconds): StampedSummary[] {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const summaries: StampedSummary[] = [];
	let at = 1;
	while (bytes[0] === format && at + zoneBytes <= bytes.length) {
		const start = at;
		const rows = view.getUint8(start + 9);
		at += zoneBytes + (rows * rowBytes);
		if (rows > maxRows || at > bytes.length) {
			break;
		}

		summaries.push({
			zone: view.getUint32(start),
			stamp: view.getUint32(start + 4),
			at: arrivedAt - (view.getUint8(start + 8) * ageUnitMs),
			rows: Array.from({length: rows}, (_, i) => unpackRow(view, start + zoneBytes + (i * rowBytes))),
		});
	}

	return summaries;
}
