/** The limit on headers that each open connection has. */
import {type Server} from 'node:http';
import {type Server as TlsServer} from 'node:https';
import {type Socket} from 'node:net';

export type ConnectionLimits = {
	/** Sets the limit of new connections, and closes idle ones that have another. */
	set: (maxHeaderBytes: number) => void;
	/** Whether the connection has another limit than the one in force, so that it closes after its next answer. */
	isOutdated: (socket: Socket) => boolean;
	/** Whether the connection has a lower limit than the one in force: headers that are too large for it may be accepted on a new one. */
	isTooLow: (socket: Socket) => boolean;
	/** Records the end of an answer on a connection that has no other request. */
	noteIdle: (socket: Socket) => void;
};

type Connection = {
	maxHeaderBytes: number;
	/** Bytes received up to the end of the last answer; `undefined` while a request is in progress, and before the first. */
	idleSinceByte: number | undefined;
};

/**
 * Watches the connections of a server. Node fixes the limit of a connection when it
 * opens, so a changed limit needs a new connection.
 *
 * @param server - The server, with the limit of its first connections.
 * @param isBusy - Whether a connection has a request in progress.
 * @returns Functions that change the limit and query it by connection.
 */
export function createConnectionLimits(server: (Server | TlsServer) & {maxHeaderSize?: number}, isBusy: (socket: Socket) => boolean): ConnectionLimits {
	const connections = new Map<Socket, Connection>();
	const toLimit = (): number => server.maxHeaderSize ?? 0;
	const isOutdated = (socket: Socket): boolean => (connections.get(socket)?.maxHeaderBytes ?? toLimit()) !== toLimit();

	function closeIfIdle(socket: Socket, {idleSinceByte}: Connection): void {
		if (!isBusy(socket) && idleSinceByte === socket.bytesRead) {
			socket.destroySoon();
		}
	}

	const noteOpened = (socket: Socket): void => {
		connections.set(socket, {maxHeaderBytes: toLimit(), idleSinceByte: undefined});
		socket.once('close', () => {
			connections.delete(socket);
		});
	};

	server.on('setSecureContext' in server ? 'secureConnection' : 'connection', noteOpened);
	return {
		set(maxHeaderBytes) {
			server.maxHeaderSize = maxHeaderBytes;
			for (const [socket, connection] of connections) {
				if (connection.maxHeaderBytes !== maxHeaderBytes) {
					closeIfIdle(socket, connection);
				}
			}
		},
		isOutdated,
		isTooLow: socket => (connections.get(socket)?.maxHeaderBytes ?? toLimit()) < toLimit(),
		noteIdle(socket) {
			const connection = connections.get(socket);
			if (connection === undefined) {
				return;
			}

			connection.idleSinceByte = socket.bytesRead;
			if (isOutdated(socket)) {
				closeIfIdle(socket, connection);
			}
		},
	};
}
