import {type Socket} from 'node:net';
import {encodeFrame, type Frame} from './frame.js';
import {type PeerLimits} from './peer-types.js';

/**
 * Writes a frame. Nothing of it is sent when it fails.
 *
 * @param frame - What to send.
 * @returns Why it was not sent; `undefined` once it is on its way.
 */
export type WriteFrame = (frame: Frame) => string | undefined;

/**
 * Creates the writing end of a connection.
 *
 * A peer that reads too slowly makes what is written wait in this process.
 * Beyond the limit nothing more is taken, so that it costs no more memory.
 *
 * @param socket - The connection's socket.
 * @param limits - `frameBytes` and `waitingBytes`, bytes.
 * @param isClosed - Whether the connection has ended or is about to.
 * @returns The function that writes.
 */
export function createFrameWriter(socket: Socket, limits: Pick<PeerLimits, 'frameBytes' | 'waitingBytes'>, isClosed: () => boolean): WriteFrame {
	return frame => {
		if (isClosed() || !socket.writable) {
			return 'the connection is closed';
		}

		if (socket.writableLength > limits.waitingBytes) {
			return 'the peer takes its bytes too slowly';
		}

		const bytes = encodeFrame(frame, limits.frameBytes);
		if (bytes.isErr()) {
			return bytes.error.message;
		}

		socket.write(bytes.value);
		return undefined;
	};
}
