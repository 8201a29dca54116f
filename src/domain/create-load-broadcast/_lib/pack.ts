/** Encodes the changing part of a load report in fifteen bytes. */
import {type LoadReport} from '../../../ports/engine.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {toHash32} from '../../../_lib/to-hash32/index.js';
import {fromLogStep, toLogStep} from '../../../_lib/to-log-step/index.js';

/** The changing part of a load report; decoded values are rounded by the encoding. */
export type LoadDelta = {
	/** Hash of the server's name. */
	server: number;
	/** Hash of the part that rarely changes; a receiver with another hash requests the full report. */
	staticHash: number;
	state: LoadReport['state'] | 'unreachable';
	slotsUsed: number;
	queued: number;
	queuedTokens: number;
	tokensPerSecond: number;
	linkBytesPerSecond: number;
	ageMs: Milliseconds;
};

export const deltaBytes = 15;

const states = ['serving', 'loading', 'leaving', 'unreachable'] as const;
const ageUnitMs = 50;

/** Computes the hash of the part of a report that rarely changes. */
export function toStaticHash({role, model, version, adapters, slotsTotal, fence}: LoadReport): number {
	return toHash32([role, model, version, ...adapters, slotsTotal, fence].join('\n')) % (2 ** 16);
}

/** Packs deltas into consecutive bytes. */
export function packDeltas(deltas: readonly LoadDelta[]): Uint8Array {
	const bytes = new Uint8Array(deltas.length * deltaBytes);
	const view = new DataView(bytes.buffer);
	for (const [i, delta] of deltas.entries()) {
		const at = i * deltaBytes;
		view.setUint32(at, delta.server);
		view.setUint16(at + 4, delta.staticHash);
		view.setUint8(at + 6, states.indexOf(delta.state));
		view.setUint16(at + 7, Math.min(65_535, delta.slotsUsed));
		view.setUint16(at + 9, Math.min(65_535, delta.queued));
		view.setUint8(at + 11, toLogStep(delta.queuedTokens));
		view.setUint8(at + 12, toLogStep(delta.tokensPerSecond));
		view.setUint8(at + 13, toLogStep(delta.linkBytesPerSecond));
		view.setUint8(at + 14, Math.min(255, Math.ceil(delta.ageMs / ageUnitMs)));
	}

	return bytes;
}

/** Unpacks deltas; skips an incomplete last delta and deltas with an unknown state. */
export function unpackDeltas(bytes: Uint8Array): LoadDelta[] {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	return Array.from({length: Math.floor(bytes.length / deltaBytes)}, (_, i) => i * deltaBytes)
		.filter(at => view.getUint8(at + 6) < states.length)
		.map(at => ({
			server: view.getUint32(at),
			staticHash: view.getUint16(at + 4),
			state: states[view.getUint8(at + 6)]!,
			slotsUsed: view.getUint16(at + 7),
			queued: view.getUint16(at + 9),
			queuedTokens: fromLogStep(view.getUint8(at + 11)),
			tokensPerSecond: fromLogStep(view.getUint8(at + 12)),
			linkBytesPerSecond: fromLogStep(view.getUint8(at + 13)),
			ageMs: view.getUint8(at + 14) * ageUnitMs,
		}));
}
