/** Tests of calls whose server sends the answer to an earlier request once more. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout} from 'node:timers/promises';
import {createServerCalls} from '../../platform/server-calls.js';
import {createHttpAgent} from '../../src/adapters/_lib/create-http-agent/index.js';
import {readAnswer} from '../../src/adapters/_lib/read-answer/index.js';
import {type ServerEntry} from '../../src/ports/config.js';

/** Time that the server takes for a reservation. */
const reserveMs = 25;
const timeoutMs = 1000;

const toAnswer = (body: string, requestId?: string): string => `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n${requestId === undefined ? '' : `request-id: ${requestId}\r\n`}\r\n${body}`;

let address: string;
let close: () => void;

/** Answers a reservation with an extra answer to an earlier request first, and every other request with its path. */
async function answerRequest(socket: Socket, head: string): Promise<void> {
	const path = /^\S+ (?<path>\S+)/v.exec(head)!.groups!.path!;
	if (path === '/-/hold-take') {
		socket.write(toAnswer('data: earlier', 'earlier'));
		await setTimeout(reserveMs);
		socket.write(toAnswer('{"hold":"h1"}'));
		return;
	}

	socket.write(toAnswer(path));
}

async function answerRequests(socket: Socket): Promise<void> {
	try {
		for await (const bytes of socket) {
			await answerRequest(socket, String(bytes));
		}
	} catch {
		// The connection was closed by the call, as it should be, or at the end of the test.
	}
}

describe('an extra answer on the connection of a reservation', () => {
	const dispatcher = createHttpAgent({connections: 1, connectTimeoutMs: timeoutMs});

	beforeEach(async () => {
		const sockets = new Set<Socket>();
		const server = createServer(socket => {
			sockets.add(socket);
			void answerRequests(socket);
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
		close = () => {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		};
	});
	afterEach(() => {
		close();
	});

	// Guards against a caller that is answered with what a server sent for the reservation of another request.
	it('is not read as that of the reservation, and the next request gets its own answer', async () => {
		const server: ServerEntry = {
			id: 'decode-1', zone: 'a', url: `http://${address}`, role: 'decode', pool: 'model', slots: 8, checksFence: false,
		};
		const {caches} = createServerCalls(() => dispatcher, {onNotice: () => undefined});
		const reserved = await caches!.reserve(server, {tokens: 10, ttlMs: timeoutMs}, AbortSignal.timeout(timeoutMs));
		assert.equal(reserved._unsafeUnwrapErr().kind, 'invalid');
		const next = await readAnswer({
			dispatcher, origin: server.url, method: 'GET', path: '/next', headersTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs,
		}, 1000);
		assert.equal(next._unsafeUnwrap().text, '/next');
	});
});
