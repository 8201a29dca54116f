/** Property of answers that a server sends while the upload of their request is still being written. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import fc from 'fast-check';
import {createHttpAgent} from '../../src/adapters/_lib/create-http-agent/index.js';
import {readAnswer} from '../../src/adapters/_lib/read-answer/index.js';
import {resetSocket} from '../_lib/reset-socket/index.js';

const timeoutMs = 5000;
const bodyBytes = 5000;
const body = 'x'.repeat(bodyBytes);

/** Heads of answers, and whether an answer ends with its connection. */
const heads: Readonly<Record<string, {head: string; isUnframed: boolean}>> = {
	'without a length': {head: 'HTTP/1.1 200 OK\r\n', isUnframed: true},
	'without a length, with a notice that the connection closes': {head: 'HTTP/1.1 200 OK\r\nconnection: close\r\n', isUnframed: true},
	'of HTTP/1.0': {head: 'HTTP/1.0 200 OK\r\n', isUnframed: true},
	'with a length': {head: `HTTP/1.1 200 OK\r\ncontent-length: ${bodyBytes}\r\n`, isUnframed: false},
	'with a length, with a notice that the connection closes': {head: `HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${bodyBytes}\r\n`, isUnframed: false},
	'in chunks, with a notice that the connection closes': {head: 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n', isUnframed: false},
};

type Upload = {kind: 'buffer' | 'pieces'; bytes: number};

/** Creates the payload of an upload: written at once, or in pieces that never end on their own. */
function toPayload({kind, bytes}: Upload): Buffer | AsyncIterable<Uint8Array> {
	if (kind === 'buffer') {
		return Buffer.alloc(bytes, 'u');
	}

	const pieces = async function * () {
		for (let sent = 0; sent < bytes; sent += 65_536) {
			yield Buffer.alloc(Math.min(65_536, bytes - sent), 'u');
			await sleep(1);
		}
	};

	return pieces();
}

let server: Server;
let script: (socket: Socket) => void;

async function upload(asked: Upload) {
	const dispatcher = createHttpAgent({connections: 1, connectTimeoutMs: timeoutMs});
	const answer = await readAnswer({
		dispatcher, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'POST', path: '/', payload: toPayload(asked), headersTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs,
	}, 100_000);
	await dispatcher.destroy();
	return answer;
}

const anyUpload = fc.record<Upload>({kind: fc.constantFrom('buffer', 'pieces'), bytes: fc.constantFrom(10, 70_000, 2_000_000, 4_000_000)});

// Guards against a part of an answer that passes for a whole one, because its server reset the connection while the upload was still being written.
describe('an answer that comes before the end of an upload', {timeout: 240_000}, () => {
	before(async () => {
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				script(socket);
			});
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
	});
	after(() => {
		server.close();
	});

	for (const [what, {head}] of Object.entries(heads)) {
		it(`never counts as whole if its connection is reset before its end: ${what} (property)`, async () => {
			const part = fc.integer({min: 0, max: bodyBytes - 1});
			await fc.assert(fc.asyncProperty(anyUpload, part, fc.constantFrom(0, 0, 1, 5, 60), async (asked, length, resetAfterMs) => {
				script = async socket => {
					socket.pause();
					socket.write(`${head}\r\n${body.slice(0, length)}`);
					await (resetAfterMs === 0 ? undefined : sleep(resetAfterMs));
					resetSocket(socket);
				};

				const answer = await upload(asked);
				assert.ok(answer.isErr(), JSON.stringify({
					...asked, length, resetAfterMs, received: answer.map(({text}) => text.length).unwrapOr(undefined),
				}));
			}), {numRuns: 40});
		});
	}

	for (const [what, {head}] of Object.entries(heads).filter(([, {isUnframed}]) => isUnframed)) {
		it(`counts as whole if its server closes the connection in order: ${what}`, async () => {
			for (const asked of [{kind: 'buffer', bytes: 10}, {kind: 'buffer', bytes: 4_000_000}, {kind: 'pieces', bytes: 10}] as const) {
				script = socket => {
					socket.end(`${head}\r\n${body}`);
				};

				const answer = await upload(asked);
				assert.equal(answer.map(({text}) => text.length)._unsafeUnwrap(), bodyBytes, JSON.stringify(asked));
			}
		});
	}

	it('counts as whole within a second if its server closes its side in order and reads no more of the upload', async () => {
		script = socket => {
			socket.pause();
			socket.end(`HTTP/1.1 200 OK\r\n\r\n${body}`);
		};

		const startedAt = performance.now();
		const answer = await upload({kind: 'buffer', bytes: 4_000_000});
		assert.equal(answer.map(({text}) => text.length)._unsafeUnwrap(), bodyBytes);
		assert.ok(performance.now() - startedAt < timeoutMs);
	});
});
