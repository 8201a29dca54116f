import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {after, describe, it} from 'node:test';
import {readAnswer} from '../read-answer/index.js';
import {createHttpAgent} from './index.js';

/*
 * A server crashes in the middle of an answer that tells no length and would
 * have ended with its connection. The half answer must not be handed on as a
 * whole one: its caller could not tell, and would act on half a lookup.
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
			name: 'an orderly end before the length told', head: 'content-length: 9\r\n', end: socket => socket.end(), isWhole: false,
		},
	];
	it('reports a port where nobody listens as unreachable', async () => {
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
		assert.equal(answer._unsafeUnwrapErr().kind, 'unreachable');
	});

	for (const {name, head, end, isWhole} of endings) {
		it(`${isWhole ? 'takes' : 'does not take'} ${name} for the end of the answer`, async () => {
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
		});
	}
});
