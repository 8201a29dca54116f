import {type Socket} from 'node:net';
import {type WriteFrame} from './create-frame-writer.js';
import {type CallFrame, type ReplyFrame} from './frame.js';
import {type CallHandler, type PeerConnection, type PeerLimits} from './peer-types.js';

export type CallAnswererOptions = {
	socket: Socket;
	write: WriteFrame;
	/** Absent when this side serves no calls; then every call is answered as failed. */
	onCall: CallHandler | undefined;
	limits: Pick<PeerLimits, 'handledCalls'>;
	/** Ends the connection. */
	end: (reason: string) => void;
};

/**
 * Creates the handler that answers the peer's calls.
 *
 * Backpressure: while `handledCalls` calls are in progress, the socket is not
 * read, so that a peer can't queue an unbounded amount of work here.
 *
 * @param options - See {@link CallAnswererOptions}.
 * @returns A function that handles one call; it never rejects.
 */
export function createCallAnswerer({socket, write, onCall, limits, end}: CallAnswererOptions) {
	let handled = 0;

	return async (connection: PeerConnection, call: CallFrame): Promise<void> => {
		handled += 1;
		if (handled >= limits.handledCalls) {
			socket.pause();
		}

		const fault = write(await toReply(call, connection, onCall));
		if (fault !== undefined) {
			end(`a reply could not be written: ${fault}`);
		}

		handled -= 1;
		if (handled < limits.handledCalls && socket.isPaused()) {
			socket.resume();
		}
	};
}

async function toReply({id, method, body}: CallFrame, connection: PeerConnection, onCall: CallHandler | undefined): Promise<ReplyFrame> {
	try {
		const result = await onCall?.(connection.peer, method, body, connection);
		return {
			type: 'reply', id, ok: onCall !== undefined, body: result,
		};
	} catch (error) {
		const message = error instanceof Error ? error.message : 'the call failed';
		return {
			type: 'reply', id, ok: false, body: {message},
		};
	}
}
