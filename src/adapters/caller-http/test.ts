/*
 * A caller must be able to tell a whole answer from a part of one, whatever the
 * host does after the last byte: stop, lose the host that kept the answer, or
 * hand the delivery to another connection.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {type TestContext, describe, it} from 'node:test';
import {waitUntil} from '../../../test/_lib/wait-until/index.js';
import {type CallerExchange, type CallerServer, startCallerServer} from './index.js';

const deadlineMs = 20_000;
/** More than fits into the socket buffers of both ends. */
const largeBytes = 20_000_000;
const request = 'GET /any HTTP/1.1\r\nhost: a\r\n\r\n';

async function start(context: TestContext, handler: (exchange: CallerExchange) => void): Promise<CallerServer> {
	const serve = async (exchange: CallerExchange) => {
		handler(exchange);
	};

	const server = await startCallerServer({
		now: () => performance.now(),
		toMaxWaitMs: () => 1000,
		bind: '127.0.0.1', port: 0, maxConnections: 10, maxHeaderBytes: 16_384, headersTimeoutMs: deadlineMs, keepAliveTimeoutMs: deadlineMs, writeTimeoutMs: deadlineMs,
	}, {
		completion: serve, chat: serve, models: serve, plain: serve,
		onFault(error) {
			throw error;
		},
	});
	context.after(async () => {
		server.destroy();
		await server.close();
	});
	return server;
}

/** Sends a request and collects everything received on the connection until it closes. */
function call({port}: CallerServer, context: TestContext) {
	const socket = connect(port, '127.0.0.1');
	const parts: Buffer[] = [];
	socket.on('data', (part: Buffer) => {
		parts.push(part);
	}).on('error', () => undefined);
	socket.write(request);
	context.after(() => socket.destroy());
	return {
		socket,
		text: () => Buffer.concat(parts).toString('latin1'),
		countBytes: () => parts.reduce((sum, {length}) => sum + length, 0),
		closed: once(socket, 'close'),
	};
}

async function waitForText(caller: ReturnType<typeof call>, pattern: RegExp): Promise<string> {
	return waitUntil(() => pattern.test(caller.text()) ? caller.text() : undefined, {deadlineMs, what: `an answer like ${pattern}`});
}

describe('startCallerServer', () => {
	const slowAnswers: ReadonlyArray<[string, (exchange: CallerExchange) => void]> = [
		['in one piece', exchange => {
			exchange.sendAnswer(200, {}, 'x'.repeat(largeBytes));
		}],
		['of unknown length', exchange => {
			exchange.startStream(200, {});
			exchange.write('x'.repeat(largeBytes));
			exchange.end();
		}],
	];
	for (const [name, answer] of slowAnswers) {
		it(`closes without cutting off an answer ${name} that its caller is still reading`, async context => {
			const server = await start(context, answer);
			const caller = call(server, context);
			await once(caller.socket, 'data');
			caller.socket.pause();
			const closed = server.close();
			caller.socket.resume();
			await closed;
			await waitUntil(() => caller.countBytes() >= largeBytes, {deadlineMs, what: 'the whole answer'});
		});
	}

	// Guards against a caller without chunked framing that takes a broken answer for a complete one.
	it('resets the connection of a caller without chunks if its answer breaks', async context => {
		const server = await start(context, exchange => {
			exchange.startStream(200, {});
			exchange.write('half');
			setTimeout(() => {
				exchange.destroy();
			}, 20);
		});
		const socket = connect(server.port, '127.0.0.1');
		context.after(() => socket.destroy());
		let code: string | undefined;
		socket.resume().once('error', (error: NodeJS.ErrnoException) => {
			code = error.code;
		});
		socket.write('GET /any HTTP/1.0\r\nhost: a\r\n\r\n');
		await new Promise(resolve => {
			socket.once('close', resolve);
		});
		assert.equal(code, 'ECONNRESET');
	});

	it('closes idle connections at once when it closes', async context => {
		const server = await start(context, exchange => {
			exchange.sendAnswer(200, {}, 'whole');
		});
		const caller = call(server, context);
		await waitForText(caller, /whole$/v);
		await server.close();
		await caller.closed;
	});
});

describe('an answer with a known length', () => {
	const headers = {'content-length': '5'};

	it('is complete after its last byte, even if it is destroyed afterwards', async context => {
		const server = await start(context, exchange => {
			exchange.startStream(200, headers);
			exchange.write('wh');
			exchange.write(Buffer.from('ole'));
			exchange.destroy();
		});
		const caller = call(server, context);
		const text = await waitForText(caller, /whole$/v);
		assert.match(text, /^HTTP\/1\.1 200 [\s\S]*content-length: 5\r\n/v);
		// The connection outlives its answer.
		caller.socket.write(request);
		await waitForText(caller, /whole[\s\S]+whole$/v);
	});

	it('can be replaced by a problem until its first byte', async context => {
		const server = await start(context, exchange => {
			exchange.startStream(200, headers);
			assert.equal(exchange.isStarted(), false);
			exchange.sendProblem({kind: 'answer-lost', detail: 'Lost.', outcome: 'may-have-run'});
			assert.equal(exchange.isStarted(), true);
		});
		assert.match(await waitForText(call(server, context), /"outcome"/v), /^HTTP\/1\.1 (?!200)/v);
	});

	const breaks: ReadonlyArray<[string, (exchange: CallerExchange) => void]> = [
		['ended', exchange => {
			exchange.end();
		}],
		['broken off', exchange => {
			exchange.destroy();
		}],
	];
	for (const [name, stop] of breaks) {
		it(`breaks its connection when it is ${name} before its last byte`, async context => {
			const server = await start(context, exchange => {
				exchange.startStream(200, headers);
				exchange.write('whol');
				stop(exchange);
			});
			await call(server, context).closed;
		});
	}

	it('is sent without its body in reply to a HEAD request', async context => {
		const server = await start(context, exchange => {
			exchange.startStream(200, headers);
			exchange.end();
		});
		const answer = await fetch(`http://127.0.0.1:${server.port}/any`, {method: 'HEAD'});
		assert.deepEqual([answer.status, answer.headers.get('content-length')], [200, '5']);
	});
});
