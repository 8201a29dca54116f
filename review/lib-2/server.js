/** Stand-in of a backend server: reads requests from sockets, and leaves every byte of the answer to its handler. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';

const headEnd = '\r\n\r\n';

/** Parses the head of a request; only bodies with a length are read, as hosts send no others. */
function toHead(bytes) {
	const [line, ...fields] = bytes.toString('latin1').split('\r\n');
	const [method, target] = line.split(' ');
	const headers = Object.fromEntries(fields.map(field => [field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()]));
	return {method, target, headers};
}

/** Creates a reader of one connection, which calls back with each whole request. */
function createReader(onRequest) {
	let pieces = [];
	let size = 0;
	let head;
	let wanted = 0;

	return piece => {
		pieces.push(piece);
		size += piece.length;
		for (;;) {
			if (head === undefined) {
				const bytes = Buffer.concat(pieces);
				const end = bytes.indexOf(headEnd);
				pieces = [bytes];
				if (end === -1) {
					return;
				}

				head = toHead(bytes.subarray(0, end));
				wanted = end + headEnd.length + Number(head.headers['content-length'] ?? 0);
			}

			if (size < wanted) {
				return;
			}

			const bytes = Buffer.concat(pieces);
			const length = Number(head.headers['content-length'] ?? 0);
			const request = {...head, body: bytes.subarray(wanted - length, wanted)};
			pieces = [bytes.subarray(wanted)];
			size -= wanted;
			head = undefined;
			onRequest(request);
			if (size === 0) {
				return;
			}
		}
	};
}

/**
 * Starts a server on loopback.
 *
 * @param {Function} handle - Called with each whole request and its socket.
 * @param {string} ip - Loopback address.
 * @returns {Promise<object>} Address and end of the server.
 */
export async function startServer(handle, ip = '127.0.0.1') {
	const sockets = new Set();
	const server = createServer({noDelay: true}, socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => sockets.delete(socket));
		socket.on('data', createReader(request => handle(request, socket)));
	});
	server.listen(0, ip);
	await once(server, 'listening');
	return {
		address: `${ip}:${server.address().port}`,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}
		},
	};
}

/**
 * Composes an answer of a server.
 *
 * @param {object} request - The request.
 * @param {object} options - Status, body and further headers.
 * @returns {Buffer} The bytes.
 */
export function toAnswer({headers}, {status = 200, reason = 'OK', body = '', fields = {}}) {
	const seal = `3e1b.07.5a2.${Buffer.byteLength(body)}.0.c9f2a4d1`;
	const all = {
		...(headers['request-id'] !== undefined && {'Request-Id': headers['request-id']}), ...(status < 300 && {'Server-Seal': seal}), 'Content-Length': Buffer.byteLength(body), 'Keep-Alive': 'timeout=15', Connection: 'keep-alive', ...fields,
	};
	return Buffer.from(`HTTP/1.1 ${status} ${reason}\r\n${Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`, 'latin1');
}
