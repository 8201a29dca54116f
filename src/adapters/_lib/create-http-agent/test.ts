import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {after, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {dispatchCall} from '../dispatch-call/index.js';
import {readAnswer} from '../read-answer/index.js';
import {createHttpAgent} from './index.js';

/** Reads a connection to its end; a reset behind bytes shows as an end, after which nothing can be written. */
async function isReset(socket: Socket): Promise<boolean> {
	return new Promise(resolve => {
		socket.once('error', () => {
			resolve(true);
		});
		socket.once('end', () => {
			socket.write('any');
			resolve(socket.errored !== null);
		});
		socket.resume();
	});
}

/*
 * A server crashes in the middle of an answer without a length, whose end is the
 * end of its connection. The truncated answer must not be relayed as a complete
 * one: the caller could not notice, and would act on incomplete data.
 */
describe('createHttpAgent', () => {
	const endings: ReadonlyArray<{name: string; head: string; end: (socket: Socket) => void; isWhole: boolean}> = [
		{
			name: 'a reset after an answer without a length', head: '', end: socket => socket.resetAndDestroy(), isWhole: false,
		},
		{
			name: 'an orderly end after an answer without a length', head: '', end: socket => socket.end(), isWhole: true,
		},
		{
			name: 'a reset after a chunk', head: 'transfer-encoding: chunked\r\nconnection: close\r\n', end: socket => socket.resetAndDestroy(), isWhole: false,
		},
		{
			name: 'an orderly end after a chunk', head: 'transfer-encoding: chunked\r\nconnection: close\r\n', end: socket => socket.end(), isWhole: false,
		},
		{
			name: 'an orderly end before the stated length', head: 'content-length: 9\r\n', end: socket => socket.end(), isWhole: false,
		},
	];
	it('reports a port without a listener as unreachable', async () => {
		const server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		server.close();
		await once(server, 'close');
		const agent = createHttpAgent({connections: 1, connectTimeoutMs: 1000});
		after(async () => agent.destroy());
		const answer = await readAnswer({
			dispatcher: agent, origin: `http://127.0.0.1:${port}`, method: 'GET', path: '/', headersTimeoutMs: 5000, idleTimeoutMs: 5000,
		}, 1000);
		const fault = answer._unsafeUnwrapErr();
		assert.deepEqual(fault, {kind: 'unreachable', message: fault.message, isRefused: true});
	});

	/*
	 * Guards against opening a connection for every call, even for a second call of
	 * the same request a few hundred milliseconds after the first. The server states
	 * its keep-alive timeout in whole seconds; a margin of two seconds subtracted
	 * from a timeout of one second leaves nothing.
	 */
	it('reuses a connection that the server keeps for a second, but not one that the server is about to close', async () => {
		let connections = 0;
		const server = createServer(socket => {
			connections++;
			socket.on('error', () => undefined);
			socket.on('data', () => {
				socket.write('HTTP/1.1 200 OK\r\nconnection: keep-alive\r\nkeep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nok');
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		after(() => server.close());
		const agent = createHttpAgent({connections: 4, connectTimeoutMs: 1000});
		after(async () => agent.destroy());
		const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
		const ask = async (): Promise<void> => {
			const answer = await readAnswer({
				dispatcher: agent, origin, method: 'GET', path: '/', headersTimeoutMs: 5000, idleTimeoutMs: 5000,
			}, 1000);
			assert.ok(answer.isOk());
		};

		await ask();
		await sleep(200);
		await ask();
		assert.equal(connections, 1);
		// After a second the server may close the connection at any moment.
		await sleep(900);
		await ask();
		assert.equal(connections, 2);
	});

	for (const {name, head, end, isWhole} of endings) {
		it(`${isWhole ? 'treats' : 'does not treat'} ${name} as the end of the answer`, async () => {
			const server = createServer(socket => {
				socket.on('error', () => undefined);
				socket.once('data', () => {
					socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${head.includes('chunked') ? '4\r\nhalf\r\n' : 'half'}`, () => {
						setImmediate(end, socket);
					});
				});
			});
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			after(() => server.close());
			const agent = createHttpAgent({connections: 1, connectTimeoutMs: 1000});
			after(async () => agent.destroy());
			const answer = await readAnswer({
				dispatcher: agent, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', headersTimeoutMs: 5000, idleTimeoutMs: 5000,
			}, 1000);
			assert.equal(answer.isOk(), isWhole);
			if (answer.isErr()) {
				assert.deepEqual(answer.error, {kind: 'broken', message: answer.error.message, isClosed: true}, 'the host would not know that the server closed the connection');
			}
		});
	}

	const pausedEndings: ReadonlyArray<{name: string; end: (socket: Socket) => void; isWhole: boolean}> = [
		{name: 'a reset', end: socket => socket.resetAndDestroy(), isWhole: false},
		{name: 'an orderly end', end: socket => socket.end(), isWhole: true},
	];
	for (const {name, end, isWhole} of pausedEndings) {
		it(`${isWhole ? 'treats' : 'does not treat'} ${name} as the end of an answer without a length whose reader was paused`, async () => {
			const server = createServer(socket => {
				socket.on('error', () => undefined);
				socket.once('data', () => {
					socket.write('HTTP/1.1 200 OK\r\n\r\nfirst', () => {
						setTimeout(() => {
							socket.write('second', () => {
								end(socket);
							});
						}, 20);
					});
				});
			});
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			after(() => server.close());
			const agent = createHttpAgent({connections: 1, connectTimeoutMs: 1000});
			after(async () => agent.destroy());
			const ended = await new Promise<'end' | 'fault'>(resolve => {
				dispatchCall({
					dispatcher: agent, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', headersTimeoutMs: 5000, idleTimeoutMs: 5000,
				}, {
					onStart(_status, _headers, flow) {
						flow.pause();
						setTimeout(flow.resume, 100);
					},
					onData: () => undefined,
					onEnd() {
						resolve('end');
					},
					onFault() {
						resolve('fault');
					},
				});
			});
			assert.equal(ended === 'end', isWhole);
		});
	}

	// Guards against calls that a partition holds up and delivers after they were given up.
	describe('closes the connection of a call that was given up by a reset', {timeout: 10_000}, () => {
		const ways = {
			'its signal aborted': () => ({headersTimeoutMs: 5000, signal: AbortSignal.timeout(100), payload: Buffer.from('short')}),
			'its answer did not begin in time': () => ({headersTimeoutMs: 100, payload: Buffer.from('short')}),
			'the server reads none of a long body': () => ({headersTimeoutMs: 5000, signal: AbortSignal.timeout(100), payload: Buffer.alloc(16_000_000)}),
		};
		for (const [name, toWay] of Object.entries(ways)) {
			it(name, async () => {
				const server = createServer({pauseOnConnect: true, allowHalfOpen: true}).listen(0, '127.0.0.1');
				after(() => server.close());
				await once(server, 'listening');
				const agent = createHttpAgent({connections: 1, connectTimeoutMs: 1000});
				after(async () => agent.destroy());
				const accepted = once(server, 'connection') as Promise<[Socket]>;
				const answer = readAnswer({
					dispatcher: agent, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'POST', path: '/', idleTimeoutMs: 0, ...toWay(),
				}, 1000);
				const [socket] = await accepted;
				const ended = await answer;
				assert.ok(ended.isErr());
				assert.equal(await isReset(socket), true);
			});
		}
	});
});
