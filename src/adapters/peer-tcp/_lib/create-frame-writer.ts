import {type Socket} from 'node:net';
import {encodeFrame, type Frame} from './frame.js';
import {type PeerLimits} from './peer-types.js';

/**
 * Writes a frame, whole or not at all.
 *
 * @param frame - The frame to send.
 * @returns The reason why the frame was not written; `undefined` when it was handed to the socket.
 */
export type WriteFrame = (frame: Frame) => string | undefined;

/**
 * Creates the function that writes frames to a connection.
 *
 * Frames for a peer that reads too slowly wait in this process. Above the limit
 * further frames are refused, so that the peer costs a bounded amount of memory.
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
			return 'the peer reads too slowly';
		}

		const bytes = encodeFrame(frame, limits.frameBytes);
		if (bytes.isErr()) {
			return bytes.error.message;
		}

		socket.write(bytes.value);
		return undefined;
	};
}
