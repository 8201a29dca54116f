/** Tests of the HTTP client for the engine interface against servers that break the protocol. */
import assert from 'node:assert/strict';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {after, describe, it} from 'node:test';
import {type EngineFailureKind, type EngineRefusalReason} from '../../src/ports/engine.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	reserve, stopAll, stopAtEnd, toClient, toKey,
} from './_lib/engine-fixture.js';

after(stopAll);

const startRaw = async (answer: (req: IncomingMessage, res: ServerResponse) => void) => {
	let calls = 0;
	const server = createServer((req, res) => {
		calls += 1;
		req.resume();
		req.once('end', () => {
			answer(req, res);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const stop = async (): Promise<void> => {
		server.closeAllConnections();
		server.close();
	};

	stopAtEnd(stop);
	return {
		id: 'raw', url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, countCalls: () => calls, stop,
	};
};

const answerWith = (status: number, body: string, headers: Record<string, string> = {}) => (_: IncomingMessage, res: ServerResponse): void => {
	res.writeHead(status, headers);
	res.end(body);
};

type CallRow = {
	name: string;
	answer: (req: IncomingMessage, res: ServerResponse) => void;
	kind: EngineFailureKind;
	reason?: EngineRefusalReason;
	retryAfterMs?: number;
};

const toRefusal = (reason: string): string => JSON.stringify({error: {reason, message: 'no'}});

const callRows: CallRow[] = [
	{name: 'closes the connection without an answer', answer: (_, res) => res.destroy(), kind: 'broken'},
	{
		name: 'resets the connection in the middle of the body',
		answer(_, res) {
			res.writeHead(201, {'content-length': '100'});
			res.write('{"reservationId":', () => res.socket?.resetAndDestroy());
		},
		kind: 'broken',
	},
	{
		name: 'truncates the body',
		answer(_, res) {
			res.writeHead(201, {'content-length': '100'});
			res.write('{"reservationId":"r"', () => res.destroy());
		},
		kind: 'broken',
	},
	{name: 'never answers', answer: () => undefined, kind: 'broken'},
	{
		name: 'refuses', answer: answerWith(409, toRefusal('full')), kind: 'refused', reason: 'full',
	},
	{
		name: 'refuses and names a delay', answer: answerWith(503, toRefusal('leaving'), {'retry-after-ms': '250'}), kind: 'refused', reason: 'leaving', retryAfterMs: 250,
	},
	{
		name: 'refuses with an unknown reason', answer: answerWith(409, toRefusal('moon')), kind: 'refused', reason: 'other',
	},
	{name: 'answers 409 without a reason', answer: answerWith(409, '{"error":"conflict"}'), kind: 'invalid'},
	{name: 'answers 503 with the page of a proxy', answer: answerWith(503, '<html>'), kind: 'invalid'},
	{name: 'answers 410', answer: answerWith(410, '{}'), kind: 'gone'},
	{name: 'answers 500', answer: answerWith(500, '{}'), kind: 'invalid'},
	{name: 'answers with an unexpected 2xx status', answer: answerWith(200, '{"reservationId":"r","expiresInMs":1}'), kind: 'invalid'},
	{name: 'answers with other fields', answer: answerWith(201, '{"reservation":"r","expires":1}'), kind: 'invalid'},
	{name: 'answers with malformed JSON', answer: answerWith(201, '{"reservationId":'), kind: 'invalid'},
	{name: 'answers with an oversized body', answer: answerWith(201, JSON.stringify({reservationId: 'r'.repeat(5000), expiresInMs: 1})), kind: 'invalid'},
];

describe('createEngineHttp', () => {
	for (const row of callRows) {
		it(`reports ${row.kind} for a server that ${row.name}, and sends the call once`, async () => {
			const server = await startRaw(row.answer);
			const client = toClient(server, {callTimeoutMs: 300, maxAnswerBytes: 4096});
			const result = await reserve(client, toKey());
			const failure = result._unsafeUnwrapErr();
			assert.equal(failure.kind, row.kind, failure.message);
			assert.equal(failure.reason, row.reason);
			assert.equal(failure.retryAfterMs, row.retryAfterMs);
			assert.equal(server.countCalls(), 1);
		});
	}

	// Guards against a call that is answered with the copy of an earlier answer, and a connection on which its own is still due.
	it('reports invalid for the answer to another call, and does not use the connection again', async () => {
		const body = '{"reservationId":"r","expiresInMs":1000}';
		let first: string | undefined;
		let isRepeated = false;
		const server = await startRaw((req, res) => {
			const callId = String(req.headers['x-call-id']);
			const answer = () => {
				answerWith(201, body, {'x-call-id': callId})(req, res);
			};

			if (first === undefined || isRepeated) {
				first ??= callId;
				answer();
				return;
			}

			isRepeated = true;
			req.socket.write(`HTTP/1.1 201 Created\r\nx-call-id: ${first}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
			setTimeout(answer, 20);
		});
		const client = toClient(server);
		const results = [await reserve(client, toKey()), await reserve(client, toKey()), await reserve(client, toKey())];
		assert.deepEqual(results.map(result => result.match(() => 'granted', ({kind}) => kind)), ['granted', 'invalid', 'granted']);
	});

	it('reports unreachable where no server listens', async () => {
		const server = await startRaw(answerWith(200, ''));
		await server.stop();
		const result = await reserve(toClient(server), toKey());
		assert.equal(result._unsafeUnwrapErr().kind, 'unreachable');
	});

	it('reports broken, not unreachable, when a reused connection dies during the call', async () => {
		let calls = 0;
		const server = await startRaw((req, res) => {
			calls += 1;
			if (calls === 1) {
				answerWith(201, '{"reservationId":"r","expiresInMs":1}')(req, res);
			} else {
				res.destroy();
			}
		});
		const client = toClient(server);
		const first = await reserve(client, toKey());
		assert.ok(first.isOk());
		const second = await reserve(client, toKey());
		assert.equal(second._unsafeUnwrapErr().kind, 'broken');
		assert.equal(calls, 2);
	});

	it('reports aborted when the caller aborts the call', async () => {
		const server = await startRaw(() => undefined);
		const controller = new AbortController();
		const pending = reserve(toClient(server), toKey(), controller.signal);
		await waitUntil(() => server.countCalls() === 1, {deadlineMs: 5000, what: 'the call to reach the server'});
		controller.abort();
		const result = await pending;
		assert.equal(result._unsafeUnwrapErr().kind, 'aborted');
	});

	it('sends nothing if the signal was aborted before the call', async () => {
		const server = await startRaw(answerWith(201, ''));
		const result = await reserve(toClient(server), toKey(), AbortSignal.abort());
		assert.equal(result._unsafeUnwrapErr().kind, 'aborted');
		assert.equal(server.countCalls(), 0);
	});

	it('sends nothing if the signal is aborted while the call waits for a connection', async () => {
		let finish: (() => void) | undefined;
		const server = await startRaw((req, res) => {
			finish = () => {
				answerWith(201, '{"reservationId":"r","expiresInMs":1}')(req, res);
			};
		});
		const client = toClient(server, {connections: 1});
		const first = reserve(client, toKey());
		await waitUntil(() => finish !== undefined, {deadlineMs: 5000, what: 'the first call to reach the server'});
		const controller = new AbortController();
		const second = reserve(client, toKey(), controller.signal);
		controller.abort();
		const given = await second;
		assert.equal(given._unsafeUnwrapErr().kind, 'aborted');
		finish?.();
		const answered = await first;
		assert.ok(answered.isOk());
		const third = reserve(client, toKey());
		await waitUntil(() => server.countCalls() === 2, {deadlineMs: 5000, what: 'the third call to reach the server'});
		finish?.();
		const last = await third;
		assert.ok(last.isOk());
		assert.equal(server.countCalls(), 2);
	});

	it('refuses a load report or a list of holds that lacks a field', async () => {
		const server = await startRaw((req, res) => {
			answerWith(200, req.url === '/engine/load' ? '{"server":"e","role":"decode"}' : '{"holds":[{"requestId":"r"}]}')(req, res);
		});
		const client = toClient(server);
		const load = await client.load();
		const holds = await client.listHolds();
		assert.equal(load._unsafeUnwrapErr().kind, 'invalid');
		assert.equal(holds._unsafeUnwrapErr().kind, 'invalid');
	});
});
