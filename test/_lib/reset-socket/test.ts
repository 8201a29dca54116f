/* Guards against sockets whose descriptor leaks, so that the process never exits. */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {waitUntil} from '../wait-until/index.js';
import {resetSocket} from './index.js';

const wait = {deadlineMs: 5000, what: 'the socket to be closed', everyMs: 5};

describe('resetSocket', () => {
	let server: Server;
	let acceptedCount = 0;
	let closedCount = 0;

	before(async () => {
		server = createServer({allowHalfOpen: true}, accepted => {
			acceptedCount += 1;
			accepted.on('error', () => undefined);
			accepted.once('close', () => {
				closedCount += 1;
			});
			accepted.resume();
			// A socket that has received the end of the stream notices a reset only when it writes.
			const writes = setInterval(() => accepted.write('x'), 10);
			accepted.once('close', () => {
				clearInterval(writes);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	after(() => {
		server.close();
	});

	const dial = (): Socket => {
		const socket = connect({port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true});
		socket.on('error', () => undefined);
		return socket;
	};

	const cases: ReadonlyArray<{name: string; reset: (socket: Socket) => void}> = [
		{
			name: 'an open socket', reset: resetSocket,
		},
		{
			name: 'a socket whose shutdown is in progress',
			reset(socket) {
				socket.end();
				resetSocket(socket);
			},
		},
		{
			name: 'a socket whose last bytes are still being written',
			reset(socket) {
				socket.end(Buffer.alloc(1_000_000));
				resetSocket(socket);
			},
		},
		{
			name: 'a socket that was shut down before',
			reset(socket) {
				socket.end(() => {
					resetSocket(socket);
				});
			},
		},
	];
	for (const {name, reset} of cases) {
		it(`closes ${name}`, async () => {
			const closedBefore = closedCount;
			const socket = dial();
			await once(socket, 'connect');
			reset(socket);
			await waitUntil(() => closedCount > closedBefore && socket.closed, wait);
		});
	}

	it('closes a socket that is still connecting and was ended', async () => {
		const socket = dial();
		socket.end();
		resetSocket(socket);
		await waitUntil(() => socket.closed, wait);
		// Connections are accepted in order, so the first one is counted once the second one is.
		const acceptedBefore = acceptedCount;
		const next = dial();
		await waitUntil(() => acceptedCount > acceptedBefore, wait);
		resetSocket(next);
		await waitUntil(() => closedCount === acceptedCount, wait);
	});
});
