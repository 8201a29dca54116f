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
import {createRecentIds} from '../../src/domain/create-recent-ids/index.js';
import {type ServerEntry} from '../../src/ports/config.js';
import {type CacheCalls} from '../../src/ports/server-calls.js';

/** Time that the server takes for a control call after an extra answer. */
const controlMs = 25;
const timeoutMs = 1000;

const toAnswer = (body: string, requestId?: string): string => `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n${requestId === undefined ? '' : `request-id: ${requestId}\r\n`}\r\n${body}`;

let close: () => void;

/** Answer that is sent before the next one to a control call. */
let extra: string | undefined;
let grants = 0;

/** Answers a control call with the extra answer first, if there is one, and every other request with its path. */
async function answerRequest(socket: Socket, head: string): Promise<void> {
	const path = /^\S+ (?<path>\S+)/v.exec(head)!.groups!.path!;
	if (!path.startsWith('/-/')) {
		socket.write(toAnswer(path));
		return;
	}

	if (extra !== undefined) {
		socket.write(extra);
		extra = undefined;
		await setTimeout(controlMs);
	}

	grants++;
	socket.write(toAnswer(path === '/-/hold-take' ? `{"hold":"h${grants}"}` : ''));
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

describe('an extra answer on the connection of a control call', () => {
	const dispatcher = createHttpAgent({connections: 1, connectTimeoutMs: timeoutMs});
	const server: ServerEntry = {
		id: 'decode-1', zone: 'a', url: 'http://none', role: 'decode', pool: 'model', slots: 8, checksFence: false,
	};
	let caches: CacheCalls;

	const reserve = async () => caches.reserve(server, {tokens: 10, ttlMs: timeoutMs}, AbortSignal.timeout(timeoutMs));

	/** Asserts that the connection is not used any more, on which the answer to the call before is still due. */
	async function assertNextIsOwn(): Promise<void> {
		const next = await readAnswer({
			dispatcher, origin: server.url, method: 'GET', path: '/next', headersTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs,
		}, 1000);
		assert.equal(next._unsafeUnwrap().text, '/next');
	}

	beforeEach(async () => {
		const sockets = new Set<Socket>();
		const listener = createServer(socket => {
			sockets.add(socket);
			void answerRequests(socket);
		}).listen(0, '127.0.0.1');
		await once(listener, 'listening');
		server.url = `http://127.0.0.1:${(listener.address() as AddressInfo).port}`;
		caches = createServerCalls(() => dispatcher, {onNotice: () => undefined, granted: createRecentIds({limit: 10})}).caches!;
		extra = undefined;
		close = () => {
			listener.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		};
	});
	afterEach(() => {
		close();
	});

	const extras: Readonly<Record<string, string>> = {
		'the answer to a request': toAnswer('data: earlier', 'earlier'),
		'the answer to a release': toAnswer(''),
		'the answer to a release, with a body': toAnswer('{}'),
		'a body that is no JSON': toAnswer('data: earlier'),
	};
	for (const [what, text] of Object.entries(extras)) {
		// Guards against a caller that is answered with what a server sent for the reservation of another request.
		it(`is not read as that of a reservation, and the next request gets its own answer: ${what}`, async () => {
			extra = text;
			const reserved = await reserve();
			assert.equal(reserved._unsafeUnwrapErr().kind, 'invalid');
			await assertNextIsOwn();
		});
	}

	// Guards against two requests that get the same reservation, and a connection on which a grant is still due.
	it('is not read as that of a reservation: the grant of an earlier one', async () => {
		const first = await reserve();
		extra = toAnswer(JSON.stringify({hold: first._unsafeUnwrap().reservationId}));
		const second = await reserve();
		assert.equal(second._unsafeUnwrapErr().kind, 'invalid');
		await assertNextIsOwn();
		const third = await reserve();
		assert.notEqual(third._unsafeUnwrap().reservationId, first._unsafeUnwrap().reservationId);
	});

	// Guards against a connection on which the answer to a release is still due.
	it('is not read as that of a release: the grant of a reservation', async () => {
		const first = await reserve();
		const {reservationId} = first._unsafeUnwrap();
		extra = toAnswer(JSON.stringify({hold: reservationId}));
		const released = await caches.release(server, reservationId);
		assert.equal(released._unsafeUnwrapErr().kind, 'invalid');
		await assertNextIsOwn();
	});

	// Guards against a process that ends because an id which a server assigned can't be sent back.
	for (const id of [String.raw`\ud800`, String.raw`a\r\nb`, 'a/b', '', 'x'.repeat(300)]) {
		it(`is no grant if its id can't be sent back: ${JSON.stringify(id.slice(0, 10))}`, async () => {
			extra = toAnswer(`{"hold":"${id}"}`);
			const reserved = await reserve();
			assert.equal(reserved._unsafeUnwrapErr().kind, 'invalid');
			assert.ok(caches.parsePrefill(`{"kv_handle":"${id}","tokens":1}`).isErr());
		});
	}
});
