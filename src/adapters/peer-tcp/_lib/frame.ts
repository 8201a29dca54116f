/**
 * Frames between the processes of this system: a 4-byte big-endian length, then
 * that many bytes of CBOR. See `docs/design/002-interfaces.md`.
 */
import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import {err, ok, type Result} from 'neverthrow';
import {isRecord} from '../../../_lib/is-record/index.js';
import {bytesPerMebibyte} from '../../../ports/units.js';
import {type HostId, type Incarnation, type ZoneId} from '../../../ports/ids.js';

export const protocolVersion = 1;
export const maxFrameBytes = 2 * bytesPerMebibyte;

const headerBytes = 4;
const firstBufferBytes = 4096;

export type PeerRole = 'agent' | 'entry';

/** Identity of a process, sent in its first frame. */
export type PeerHello = {
	host: HostId;
	zone: ZoneId;
	role: PeerRole;
	incarnation: Incarnation;
};

export type HelloFrame = PeerHello & {type: 'hello'; protocol: number};
export type CallFrame = {type: 'call'; id: number; method: string; body: unknown};
export type ReplyFrame = {type: 'reply'; id: number; ok: boolean; body: unknown};
export type EventFrame = {type: 'event'; name: string; body: unknown};
export type Frame = HelloFrame | CallFrame | ReplyFrame | EventFrame;

/** What is wrong with a frame. A fault in received bytes closes the connection. */
export type FrameFault = {
	kind: 'too-long' | 'not-cbor' | 'unknown-type' | 'bad-field';
	message: string;
};

const codec = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});

/**
 * Encodes one frame, length included.
 *
 * @param frame - The frame.
 * @param limitBytes - Longest body allowed, bytes.
 * @returns The bytes, or a fault when the body is longer than `limitBytes`.
 */
export function encodeFrame(frame: Frame, limitBytes = maxFrameBytes): Result<Buffer, FrameFault> {
	const body = codec.encode(frame);
	if (body.length > limitBytes) {
		return err({kind: 'too-long', message: `A frame of ${body.length} bytes was to be sent; ${limitBytes} are allowed. Send it in parts.`});
	}

	const bytes = Buffer.allocUnsafe(headerBytes + body.length);
	bytes.writeUInt32BE(body.length, 0);
	body.copy(bytes, headerBytes);
	return ok(bytes);
}

function isText(value: unknown): value is string {
	return typeof value === 'string';
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

function hasValidFields(value: Record<string, unknown>): boolean {
	switch (value.type) {
		case 'hello': {
			return isCount(value.protocol)
				&& isText(value.host)
				&& isText(value.zone)
				&& (value.role === 'agent' || value.role === 'entry')
				&& isCount(value.incarnation);
		}

		case 'call': {
			return isCount(value.id) && isText(value.method);
		}

		case 'reply': {
			return isCount(value.id) && typeof value.ok === 'boolean';
		}

		default: {
			return isText(value.name);
		}
	}
}

const frameTypes = new Set<unknown>(['hello', 'call', 'reply', 'event']);

function parseFrame(bytes: Buffer): Result<Frame, FrameFault> {
	let value: unknown;
	try {
		value = codec.decode(bytes);
	} catch (error) {
		return err({kind: 'not-cbor', message: `A frame is not valid CBOR (${error instanceof Error ? error.message : 'unknown error'}).`});
	}

	if (!isRecord(value)) {
		return err({kind: 'not-cbor', message: 'A frame is not a CBOR map.'});
	}

	if (!frameTypes.has(value.type)) {
		return err({kind: 'unknown-type', message: 'A frame has an unknown type; hello, call, reply and event are known.'});
	}

	if (!hasValidFields(value)) {
		return err({kind: 'bad-field', message: `A field of a ${String(value.type)} frame is missing or of the wrong kind.`});
	}

	return ok(value as Frame);
}

export type FrameDecoder = {
	/**
	 * Decodes received bytes.
	 *
	 * @param bytes - The next bytes of the connection, split anywhere.
	 * @returns The frames that the bytes complete, or the first fault, after which the decoder accepts no more bytes.
	 */
	push: (bytes: Uint8Array) => Result<Frame[], FrameFault>;
	/** Bytes that wait for the rest of their frame. */
	pendingBytes: () => number;
};

/**
 * Splits a byte stream into frames. The buffer grows with the bytes received and
 * not with the length that the peer announces, so that a peer can't make this
 * process allocate a whole frame by sending four bytes.
 *
 * @param options - `limitBytes`: longest frame body accepted, bytes.
 * @returns A decoder for one connection.
 */
export function createFrameDecoder({limitBytes = maxFrameBytes}: {limitBytes?: number} = {}): FrameDecoder {
	let buffer = Buffer.alloc(0);
	let used = 0;
	let failed: FrameFault | undefined;

	function append(bytes: Uint8Array) {
		if (used + bytes.length > buffer.length) {
			const grown = Buffer.allocUnsafe(Math.max(firstBufferBytes, buffer.length * 2, used + bytes.length));
			buffer.copy(grown, 0, 0, used);
			buffer = grown;
		}

		buffer.set(bytes, used);
		used += bytes.length;
	}

	function decodeFrames(): Result<Frame[], FrameFault> {
		const frames: Frame[] = [];
		let start = 0;
		while (used - start >= headerBytes) {
			const length = buffer.readUInt32BE(start);
			if (length > limitBytes) {
				return err({kind: 'too-long', message: `A frame of ${length} bytes was announced; ${limitBytes} are allowed.`});
			}

			const end = start + headerBytes + length;
			if (end > used) {
				break;
			}

			const frame = parseFrame(Buffer.from(buffer.subarray(start + headerBytes, end)));
			if (frame.isErr()) {
				return err(frame.error);
			}

			frames.push(frame.value);
			start = end;
		}

		keepRemainder(start);
		return ok(frames);
	}

	function keepRemainder(start: number) {
		if (start === 0) {
			return;
		}

		buffer = start === used ? Buffer.alloc(0) : Buffer.from(buffer.subarray(start, used));
		used -= start;
	}

	return {
		push(bytes) {
			if (failed) {
				return err(failed);
			}

			append(bytes);
			const frames = decodeFrames();
			if (frames.isErr()) {
				failed = frames.error;
				buffer = Buffer.alloc(0);
				used = 0;
			}

			return frames;
		},
		pendingBytes: () => used,
	};
}
