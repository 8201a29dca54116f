/** Resets connections whose call was given up. */
import {type Socket} from 'node:net';
import {TLSSocket} from 'node:tls';

/** Codes of undici's errors for a server that takes too long. */
const timeoutCodes: ReadonlySet<string | undefined> = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Reason with which undici destroys the connection of a call that was aborted; its code is that of other reasons too. */
const abortedReason = 'aborted';

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
	let reason: Error | undefined;
	socket.destroy = (error?: Error) => {
		// Node can't reset a socket while its orderly end is in progress.
		if (reason === undefined && isGivenUp(error) && !socket.writableEnded) {
			reason = error;
			// Calls this function again, without the reason.
			return socket.resetAndDestroy();
		}

		return destroy(error ?? reason);
	};
}
