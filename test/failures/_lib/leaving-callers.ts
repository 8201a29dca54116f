/** Callers who send a request and close their connection before they have an answer. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {resetSocket} from '../../_lib/reset-socket/index.js';
import {callerHost} from '../../stand-ins/users-platform/published.js';

/** How a caller closes its connection. */
export type Leaving = 'in order' | 'by a reset';

export type LeavingCall = {
	method: 'GET' | 'POST';
	path: string;
	headers?: Readonly<Record<string, string>>;
	body?: string;
};

/** Time after its request in which a caller leaves, milliseconds. */
export const leaveAfterMs = 300;

/**
 * Opens connections to a host.
 *
 * @param address - IP and port of the host.
 * @param count - Number of connections.
 * @returns The connections, once the operating system has opened them; the host may not have accepted them.
 */
export async function openConnections({ip, port}: {ip: string; port: number}, count: number): Promise<Socket[]> {
	return Promise.all(Array.from({length: count}, async () => {
		const socket = connect({host: ip, port});
		socket.on('error', () => undefined);
		await once(socket, 'connect');
		return socket;
	}));
}

/**
 * Writes a request.
 *
 * @param socket - The connection.
 * @param id - Id of the request.
 * @param call - The request.
 */
export function writeCall(socket: Socket, id: string, {method, path, headers = {}, body = ''}: LeavingCall): void {
	const all = {
		host: callerHost, 'request-id': id, 'content-length': String(body.length), ...headers,
	};
	const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
	socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body}`);
}

/**
 * Sends one request on each connection, and reads its answer.
 *
 * @param sockets - The connections.
 * @param call - The request.
 */
export async function warmUp(sockets: readonly Socket[], call: LeavingCall): Promise<void> {
	for (const [i, socket] of sockets.entries()) {
		writeCall(socket, `warm-${i}`, call);
		await once(socket, 'data');
	}
}

/**
 * Sends one request on each connection, and closes all of them before the answer.
 *
 * @param sockets - The connections.
 * @param call - The request.
 * @param leaving - How the connections are closed.
 */
export async function sendAndLeave(sockets: readonly Socket[], call: LeavingCall, leaving: Leaving): Promise<void> {
	for (const [i, socket] of sockets.entries()) {
		writeCall(socket, `left-${i}`, call);
	}

	await sleep(leaveAfterMs);
	for (const socket of sockets) {
		if (leaving === 'in order') {
			socket.end();
		} else {
			resetSocket(socket);
		}
	}
}
