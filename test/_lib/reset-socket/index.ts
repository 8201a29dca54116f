import {type Socket} from 'node:net';

/**
 * Ends a connection with a TCP reset.
 *
 * libuv refuses to reset a socket while its shutdown is in progress, and Node then
 * neither closes nor releases it: its descriptor leaks, and the process never
 * exits. Such a socket is reset as soon as its shutdown is complete.
 *
 * @param socket - The socket; one that isn't connected yet is destroyed.
 */
export function resetSocket(socket: Socket): void {
	const isShuttingDown = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
	if (socket.connecting) {
		socket.destroy();
	} else if (isShuttingDown) {
		socket.once('finish', () => socket.resetAndDestroy());
	} else {
		socket.resetAndDestroy();
	}
}
