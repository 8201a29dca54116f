import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Dispatcher} from 'undici';
import {createDeferred} from '../../../_lib/create-deferred/index.js';
import {createHttpAgent} from '../create-http-agent/index.js';
import {dispatchCall, type CallFault} from './index.js';

/** Dispatches a call through a dispatcher whose connection is opened by hand. */
function startCall() {
	const faults: CallFault[] = [];
	const aborted: string[] = [];
	const control = new AbortController();
	let handler: Dispatcher.DispatchHandler | undefined;
	const dispatcher = {
		dispatch(_: Dispatcher.DispatchOptions, given: Dispatcher.DispatchHandler) {
			handler = given;
			return true;
		},
	} as unknown as Dispatcher;
	const controller = {
		abort(reason: Error) {
			aborted.push(reason.message);
		},
	} as unknown as Dispatcher.DispatchController;
	dispatchCall({
		dispatcher, origin: 'http://10.0.0.1:1', method: 'POST', path: '/', headersTimeoutMs: 100, idleTimeoutMs: 100, signal: control.signal,
	}, {
		onStart: () => undefined, onData: () => undefined, onEnd: () => undefined, onFault(fault) {
			faults.push(fault);
		},
	});
	return {
		faults,
		aborted,
		connect() {
			handler!.onRequestStart!(controller, undefined);
		},
		abort() {
			control.abort();
		},
	};
}

// Guards against a caller who is told that its request may have run, although no byte of it was sent.
describe('dispatchCall, aborted', () => {
	it('is unsent while it waits for its connection, and sends nothing once it has one', () => {
		const call = startCall();
		call.abort();
		assert.deepEqual(call.faults, [{kind: 'aborted', message: 'aborted by this process', isUnsent: true}]);
		call.connect();
		assert.deepEqual(call.aborted, ['given up']);
		assert.equal(call.faults.length, 1);
	});

	it('may have been sent once it has a connection', () => {
		const call = startCall();
		call.connect();
		call.abort();
		assert.deepEqual(call.faults, [{kind: 'aborted', message: 'aborted by this process'}]);
		assert.deepEqual(call.aborted, ['aborted']);
	});
});

// Guards against a server whose refusal never ends, so that a host reads it for ever.
describe('dispatchCall, discarding the rest of an answer', () => {
	const head = 'HTTP/1.1 503 Service Unavailable\r\ntransfer-encoding: chunked\r\n\r\n';
	/** Bytes that the sockets of both sides hold at most, besides those that are read. */
	const maxBufferedBytes = 16 * 1024 * 1024;
	const chunk = Buffer.from(`4000\r\n${'x'.repeat(0x40_00)}\r\n`);

	/** Discards the answer of a server; returns whether the server sees its connection closed within this time. */
	async function isClosedWithin(waitMs: number, send: (socket: Socket) => void): Promise<boolean> {
		const sockets = new Set<Socket>();
		const closed = createDeferred();
		const server = createServer(socket => {
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => {
				closed.resolve();
			});
			socket.once('data', () => {
				socket.write(head);
				send(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const dispatcher = createHttpAgent({connections: 1, connectTimeoutMs: 1000});
		dispatchCall({
			dispatcher, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', headersTimeoutMs: 5000, idleTimeoutMs: 60_000,
		}, {
			onStart(_, __, flow) {
				flow.discard();
			},
			onData: () => undefined,
			onEnd: () => undefined,
			onFault: () => undefined,
		});
		const isClosed = await Promise.race([
			(async () => {
				await closed.promise;
				return true;
			})(),
			sleep(waitMs, false),
		]);
		for (const socket of sockets) {
			socket.destroy();
		}

		await dispatcher.destroy();
		server.close();
		return isClosed;
	}

	it('closes the connection of a server that sends without end, after few bytes', async () => {
		let sentBytes = 0;
		assert.ok(await isClosedWithin(10_000, socket => {
			const send = (): void => {
				while (!socket.destroyed && socket.write(chunk)) {
					// Write until the window is full.
				}
			};

			socket.on('drain', send);
			socket.once('close', () => {
				sentBytes = socket.bytesWritten;
			});
			send();
		}));
		assert.ok(sentBytes <= maxBufferedBytes, `${sentBytes} bytes were sent`);
	});

	it('closes the connection of a server that sends a little all the time', async () => {
		assert.ok(await isClosedWithin(10_000, socket => {
			const timer = setInterval(() => {
				socket.write('1\r\nx\r\n');
			}, 50);
			socket.once('close', () => {
				clearInterval(timer);
			});
		}));
	});

	it('keeps the connection of a server whose answer ends', async () => {
		assert.equal(await isClosedWithin(2000, socket => {
			socket.write('1\r\nx\r\n0\r\n\r\n');
		}), false);
	});
});

// Guards against a server that sends informational heads without end, which put off the timeout of its answer's head.
describe('dispatchCall, informational heads', () => {
	/** Calls a server that sends these bytes again and again, then the rest; returns how the call ended. */
	async function call(heads: number, rest: string): Promise<string> {
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				for (let n = 0; n < heads; n++) {
					socket.write('HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n');
				}

				socket.write(rest);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const dispatcher = createHttpAgent({connections: 1, connectTimeoutMs: 1000});
		const ended = await Promise.race([
			new Promise<string>(resolve => {
				dispatchCall({
					dispatcher, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', headersTimeoutMs: 60_000, idleTimeoutMs: 60_000,
				}, {
					onStart: () => undefined,
					onData: () => undefined,
					onEnd() {
						resolve('ended');
					},
					onFault({kind, message}) {
						resolve(`${kind}: ${message}`);
					},
				});
			}),
			sleep(5000, 'nothing'),
		]);
		await dispatcher.destroy();
		server.close();
		return ended;
	}

	it('are skipped before an answer', async () => {
		assert.equal(await call(3, 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'), 'ended');
	});

	it('end the call if there are too many', async () => {
		assert.match(await call(200, ''), /^broken: the server sent more than 16 informational heads/v);
	});
});
