import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {readAnswer} from '../read-answer/index.js';
import {createHttpAgent} from './index.js';

const timeoutMs = 3000;
/** Room for what both systems buffer. */
const maxSentBytes = 16 * 1024 * 1024;
const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const junk = 'x'.repeat(64 * 1024);

let server: Server;
let sent = 0;
let answer: (socket: Socket) => void;

/** Writes as fast as the other side reads. */
function writeEndlessly(socket: Socket, first: string): void {
	const writeMore = (): void => {
		while (!socket.destroyed && socket.write(junk)) {
			sent += junk.length;
		}
	};

	socket.on('drain', writeMore);
	socket.write(first);
	writeMore();
}

async function ask(maxBytes: number) {
	const agent = createHttpAgent({connections: 1, connectTimeoutMs: timeoutMs});
	const read = await readAnswer({
		dispatcher: agent, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', headersTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs, signal: AbortSignal.timeout(timeoutMs),
	}, maxBytes);
	await agent.destroy();
	return read;
}

// Guards against a call that reads bytes without end, which no timeout ends.
describe('limitFraming', () => {
	before(async () => {
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				answer(socket);
			});
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
	});
	after(() => {
		server.close();
	});

	for (const [what, first] of Object.entries({'the first chunk': '5;', 'a later chunk': '5\r\nhello\r\n5;', 'the last chunk': '5\r\nhello\r\n0;'})) {
		it(`ends an answer whose chunk extension has no end: ${what}`, async () => {
			sent = 0;
			answer = socket => {
				writeEndlessly(socket, `${head}${first}`);
			};

			const read = await ask(1000);
			assert.equal(read._unsafeUnwrapErr().kind, 'broken');
			assert.ok(sent < maxSentBytes, `${sent} bytes sent`);
		});
	}

	it('reads a long answer in chunks of one byte with short extensions', async () => {
		const body = 'y'.repeat(200_000);
		answer = socket => {
			socket.end(`${head}${'1;a=b\r\ny\r\n'.repeat(body.length)}0\r\n\r\n`);
		};

		const read = await ask(body.length);
		assert.equal(read._unsafeUnwrap().text, body);
	});
});
