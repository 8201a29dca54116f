/** Ends answers whose framing has too many bytes. */
import {type Socket} from 'node:net';
import {bytesPerKibibyte} from '../../../ports/units.js';

/** Bytes of an answer beside its body that are always read: its head, and the framing of its first chunks. */
const maxFramingBytes = 128 * bytesPerKibibyte;

/** Bytes that may come before the end of a head: a parser bounds the headers, but not the reason in a status line, and it skips line breaks before it. */
const maxHeadBytes = 512 * bytesPerKibibyte;

/** Bytes of framing that each byte of the body allows; chunks of one byte have five. */
const maxFramingShare = 16;

/** What is known of the answer that is being received. */
export type AnswerProgress = {
	/** 0 while no answer is being received. */
	statusCode: number;
	/** Bytes of the body so far. */
	bytesRead: number;
};

/**
 * Bounds the bytes that a server may send within an answer beside its body. The
 * extension of a chunk has no bound of its own, and each piece of it puts off the
 * timeouts, so that an endless one would be read for as long as the caller waits.
 *
 * @param socket - Socket of a client; destroyed above the bound.
 * @param toProgress - Returns the progress of the answer; `undefined` before the socket is in use.
 */
export function limitFraming(socket: Socket, toProgress: () => AnswerProgress | undefined): void {
	const read = socket.read.bind(socket) as (size?: number) => Uint8Array | null;
	let received = 0;
	let isHead = true;

	/** Bytes that were read so far may belong to the head of this answer, or to its body. */
	function toExcess({statusCode, bytesRead}: AnswerProgress): string | undefined {
		if (isHead !== (statusCode === 0)) {
			isHead = statusCode === 0;
			received = 0;
		}

		if (isHead) {
			return received > maxHeadBytes ? `the head of the answer has more than ${maxHeadBytes} bytes` : undefined;
		}

		return received > maxFramingBytes + ((1 + maxFramingShare) * bytesRead) ? `the answer has ${received} bytes, of which its body has ${bytesRead}` : undefined;
	}

	socket.read = (size?: number) => {
		const progress = toProgress();
		const excess = progress && toExcess(progress);
		if (excess !== undefined) {
			socket.destroy(new Error(excess));
			return null;
		}

		const bytes = read(size);
		received += bytes?.length ?? 0;
		return bytes;
	};
}
