/** The ways in which the stand-in server ends while it runs a request. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {resetSocket} from '../../_lib/reset-socket/index.js';

/**
 * What the server has sent before it ends, and what becomes of the connection.
 * `silent`: nothing was sent, and the connection stays open, as if the machine lost
 * power. `goes dark`: all connections stay open, and none is answered any more.
 * `once-left`: it ends only after the host has closed the connection;
 * `lingers once-left`: it goes on with its work for some time before it ends.
 */
export type ServerEnd = 'closes' | 'silent' | 'goes dark' | 'once-left' | 'lingers once-left'
	| `${'closes' | 'resets' | 'falls silent'} ${'in half a head' | 'in a body with a length' | 'in chunks' | 'in last chunks' | 'without a length'}`;

type Sent = ServerEnd extends infer End ? End extends `${string} ${'in' | 'without'} ${string}` ? End : never : never;

/** Time for which a server goes on with a request after the host has closed the connection. */
const lingerMs = 500;

/** Time between the last bytes and the end of the connection, so that the host has read them. */
const sentBeforeMs = 30;

const event = 'id: 1\ndata: piece 1\n\n';

function toBytes(end: Sent, req: IncomingMessage): string {
	const head = `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nrequest-id: ${String(req.headers['request-id'])}\r\n`;
	const chunk = `${event.length.toString(16)}\r\n${event}\r\n`;
	if (end.endsWith('in half a head')) {
		return 'HTTP/1.1 200 O';
	}

	if (end.endsWith('in a body with a length')) {
		return `${head}content-length: ${10 * event.length}\r\n\r\n${event}`;
	}

	if (end.endsWith('without a length')) {
		return `${head}\r\n${event}`;
	}

	return `${head}transfer-encoding: chunked\r\n${end.endsWith('in last chunks') ? 'connection: close\r\n' : ''}\r\n${chunk}`;
}

/**
 * Ends the server while it runs a request.
 *
 * @param end - The way.
 * @param call - The request, its answer, and what ends the server.
 */
export function endServer(end: ServerEnd, {req, res, crash}: {req: IncomingMessage; res: ServerResponse; crash: () => void}): void {
	const {socket} = req;
	if (end === 'closes' || end === 'goes dark') {
		crash();
		return;
	}

	if (end === 'silent') {
		res.detachSocket(socket);
		crash();
		return;
	}

	if (end === 'once-left') {
		res.once('close', crash);
		return;
	}

	if (end === 'lingers once-left') {
		res.once('close', () => {
			setTimeout(crash, lingerMs);
		});
		return;
	}

	socket.write(toBytes(end, req), () => {
		setTimeout(() => {
			if (end.startsWith('resets')) {
				resetSocket(socket);
			} else if (end.startsWith('closes')) {
				socket.end();
			}

			crash();
		}, sentBeforeMs);
	});
}
