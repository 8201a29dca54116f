/** Answers without end, in each part of an answer, before readers of all kinds. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createStore} from '../../platform/store.js';
import {createHttpAgent} from '../../src/adapters/_lib/create-http-agent/index.js';
import {dispatchCall} from '../../src/adapters/_lib/dispatch-call/index.js';
import {readAnswer} from '../../src/adapters/_lib/read-answer/index.js';
import {bytesPerKibibyte, bytesPerMebibyte} from '../../src/ports/units.js';

/** Bytes that a faulty server would send; a process that keeps them all shows it. */
const offeredBytes = 256 * bytesPerMebibyte;
const maxKeptBytes = 48 * bytesPerMebibyte;
/** Bytes that the buffers of both ends may hold. */
const maxSentBytes = 24 * bytesPerMebibyte;
const deadlineMs = 4000;
const piece = 64 * bytesPerKibibyte;

const toFull = (text: string): string => text.repeat(Math.ceil(piece / text.length));

/** What a server sends first, and then without end. */
const forms: Readonly<Record<string, {first: string; rest: string}>> = {
	'a status line': {first: 'HTTP/1.1 200 ', rest: toFull('x')},
	'a header line': {first: 'HTTP/1.1 200 OK\r\nx: ', rest: toFull('x')},
	'many headers': {first: 'HTTP/1.1 200 OK\r\n', rest: toFull('a: b\r\n')},
	'informational heads': {first: '', rest: toFull('HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n')},
	'a body with a length': {first: 'HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n', rest: toFull('x')},
	'a body in chunks': {first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', rest: toFull('10\r\n0123456789abcdef\r\n')},
	'one chunk': {first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffff\r\n', rest: toFull('x')},
	'a chunk extension': {first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;', rest: toFull('x')},
	trailers: {first: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n', rest: toFull('a: b\r\n')},
	'a body without framing': {first: 'HTTP/1.1 200 OK\r\n\r\n', rest: toFull('x')},
	'bytes after a whole answer': {first: 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', rest: toFull('x')},
	'bytes that are no answer': {first: '', rest: toFull('\u0000\u0001')},
	'spaces before an answer': {first: '', rest: toFull('\r\n')},
};

let server: Server;
let form = forms['a header line']!;
let sentBytes = 0;

/** Sends until the connection closes, as fast as it is read. */
async function sendWithoutEnd(socket: Socket): Promise<void> {
	socket.write(form.first);
	sentBytes = 0;
	while (sentBytes < offeredBytes && !socket.destroyed) {
		sentBytes += piece;
		if (!socket.write(form.rest, 'latin1')) {
			await new Promise<void>(resolve => {
				socket.once('drain', resolve).once('close', resolve);
			});
		}
	}
}

const toOrigin = (): string => `http://127.0.0.1:${(server.address() as AddressInfo).port}`;

const toKept = (): number => {
	const {arrayBuffers, heapUsed} = process.memoryUsage();
	return arrayBuffers + heapUsed;
};

/** Calls, and returns the highest memory that was kept beside what there was before. */
async function measure(call: (signal: AbortSignal) => Promise<unknown>): Promise<{keptBytes: number; tookMs: number}> {
	const before = toKept();
	const startedAt = performance.now();
	const limit = new AbortController();
	let keptBytes = 0;
	const sampler = setInterval(() => {
		keptBytes = Math.max(keptBytes, toKept() - before);
	}, 20);
	const timer = setTimeout(() => {
		limit.abort();
	}, deadlineMs);
	await call(limit.signal);
	clearTimeout(timer);
	clearInterval(sampler);
	return {keptBytes, tookMs: performance.now() - startedAt};
}

/** Calls a server, and reads nothing of its answer's body for a while. */
async function callWithoutReading(signal: AbortSignal): Promise<void> {
	const dispatcher = createHttpAgent({connections: 1, connectTimeoutMs: 1000});
	await new Promise<void>(resolve => {
		dispatchCall({
			dispatcher, origin: toOrigin(), method: 'GET', path: '/', headersTimeoutMs: 1000, idleTimeoutMs: 1000, signal,
		}, {
			async onStart(_, __, flow) {
				flow.pause();
				await sleep(1000);
				flow.abandon();
				resolve();
			},
			onData: () => undefined,
			onEnd() {
				resolve();
			},
			onFault() {
				resolve();
			},
		});
	});
	await dispatcher.destroy();
}

const readers: Readonly<Record<string, (signal: AbortSignal) => Promise<unknown>>> = {
	async 'a call whose answer is read whole'(signal) {
		const dispatcher = createHttpAgent({connections: 1, connectTimeoutMs: 1000});
		await readAnswer({
			dispatcher, origin: toOrigin(), method: 'POST', path: '/', body: {}, headersTimeoutMs: 1000, idleTimeoutMs: 1000, signal,
		}, 16 * bytesPerKibibyte);
		await dispatcher.destroy();
	},
	'a caller that does not read': callWithoutReading,
	async 'a list of the store'(signal) {
		const store = createStore(toOrigin().replace('http://', ''));
		await store.list(signal);
		await store.close();
	},
	async 'a watch of the store'(signal) {
		const store = createStore(toOrigin().replace('http://', ''));
		await store.watch({era: undefined, revision: 1}, 100, signal);
		await store.close();
	},
};

// Guards against a host that keeps the bytes of a faulty server until its memory is full, and ends with all its requests.
describe('an answer without end', {timeout: 240_000}, () => {
	before(async () => {
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				void sendWithoutEnd(socket);
			});
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
	});
	after(() => {
		server.close();
	});

	for (const [reader, call] of Object.entries(readers)) {
		it(`is given up, and not kept, by ${reader}`, async t => {
			for (const [what, next] of Object.entries(forms)) {
				form = next;
				const {keptBytes, tookMs} = await measure(call);
				t.diagnostic(`${what}: ${Math.round(keptBytes / bytesPerMebibyte)} MiB, ${Math.round(tookMs)} ms`);
				assert.ok(keptBytes <= maxKeptBytes, `${what}: ${keptBytes} bytes`);
				assert.ok(sentBytes <= maxSentBytes, `${what}: ${sentBytes} bytes were taken`);
				assert.ok(tookMs < deadlineMs, `${what}: ${Math.round(tookMs)} ms`);
			}
		});
	}
});
