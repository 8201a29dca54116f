/** Resets connections whose call was given up. */
import {type Socket} from 'node:net';
import {TLSSocket} from 'node:tls';

/** Codes of undici's errors for a server that takes too long. */
const timeoutCodes: ReadonlySet<string | undefined> = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Reason with which undici destroys the connection of a call that was aborted; its code is that of other reasons too. */
const abortedReason = 'aborted';

/** The part of node's state of a socket that chooses how it is closed. Its public method for a reset waits until all bytes are written, for ever on a link that takes none. */
type ClosingState = {resetAndClosing?: boolean};

function isGivenUp(error: Error | undefined): boolean {
	return error !== undefined && (error.message === abortedReason || timeoutCodes.has((error as {code?: string}).code));
}

/**
 * Makes a socket reset its connection when its call is given up. After an orderly
 * close, the operating system goes on delivering what the call has written: a
 * network partition would hold it up and hand it to the server when it heals, which
 * then works for nobody. A reset discards it.
 *
 * @param socket - Socket of a client; over TLS it is closed as before.
 */
export function resetGivenUp(socket: Socket): void {
	if (socket instanceof TLSSocket) {
		return;
	}

	const destroy = socket.destroy.bind(socket);
	socket.destroy = (error?: Error) => {
		if (isGivenUp(error) && !socket.writableEnded) {
			(socket as ClosingState).resetAndClosing = true;
		}

		return destroy(error);
	};
}
