/** Tests of limits that change while connections are open. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {describe, it, type TestContext} from 'node:test';
import fc from 'fast-check';
import {waitUntil} from '../../../test/_lib/wait-until/index.js';
import {
	type CallerExchange, type CallerServer, type ConnectionBounds, startCallerServer,
} from './index.js';

const deadlineMs = 20_000;
const usual: ConnectionBounds = {maxHeaderBytes: 16_384, headersTimeoutMs: deadlineMs, keepAliveTimeoutMs: deadlineMs};

const toRequest = (headerBytes: number, path = '/any'): string => `GET ${path} HTTP/1.1\r\nhost: a\r\nx-long: ${'x'.repeat(headerBytes)}\r\n\r\n`;

function answer(exchange: CallerExchange): void {
	exchange.sendAnswer(200, {}, '{}');
}

async function start(context: Pick<TestContext, 'after'>, handle: (exchange: CallerExchange) => void = answer): Promise<CallerServer> {
	const serve = async (exchange: CallerExchange) => {
		handle(exchange);
	};

	const server = await startCallerServer({
		...usual, now: () => performance.now(), toMaxWaitMs: () => 1000, bind: '127.0.0.1', port: 0, maxConnections: 10, writeTimeoutMs: deadlineMs,
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

type Caller = {socket: Socket; ask: (headerBytes: number, path?: string) => Promise<number>; isClosed: () => boolean; text: () => string};

/** Opens a connection that sends requests one after the other. */
async function open({port}: CallerServer): Promise<Caller> {
	const socket = connect(port, '127.0.0.1');
	let text = '';
	let isClosed = false;
	socket.setEncoding('latin1').on('data', part => {
		text += String(part);
	}).on('error', () => undefined).on('close', () => {
		isClosed = true;
	});
	await once(socket, 'connect');
	return {
		socket,
		isClosed: () => isClosed,
		text: () => text,
		async ask(headerBytes, path) {
			text = '';
			socket.write(toRequest(headerBytes, path));
			return waitUntil(() => {
				const status = /^HTTP\/1\.1 (?<status>\d{3})[\s\S]*\r\n\r\n/v.exec(text)?.groups?.status;
				return status === undefined ? undefined : Number(status);
			}, {deadlineMs, what: 'an answer'});
		},
	};
}

const raised = {...usual, maxHeaderBytes: 32_768};

describe('startCallerServer with limits that change', () => {
	// Guards against 431 for headers that the configuration in force allows.
	it('accepts larger headers on new connections once the limit is raised', async t => {
		const server = await start(t);
		server.setBounds(raised);
		const caller = await open(server);
		assert.equal(await caller.ask(20_000), 200);
	});

	it('closes idle connections that were opened under another limit', async t => {
		const server = await start(t);
		const caller = await open(server);
		assert.equal(await caller.ask(10), 200);
		server.setBounds(raised);
		await waitUntil(() => caller.isClosed() || undefined, {deadlineMs, what: 'the end of the connection'});
	});

	it('closes a connection after the answer that was in progress, which stays whole', async t => {
		let finish: (() => void) | undefined;
		const server = await start(t, exchange => {
			finish = () => {
				exchange.sendAnswer(200, {}, '{}');
			};
		});
		const caller = await open(server);
		const asked = caller.ask(10);
		await waitUntil(() => finish, {deadlineMs, what: 'a request'});
		server.setBounds(raised);
		finish!();
		assert.equal(await asked, 200);
		await waitUntil(() => caller.isClosed() || undefined, {deadlineMs, what: 'the end of the connection'});
		assert.match(caller.text(), /connection: close/iv);
	});

	// Guards against 431, which callers don't repeat, on a connection whose limit is older than the one in force.
	it('refuses as not run what is too large only for the limit of its connection', async t => {
		const server = await start(t);
		const caller = await open(server);
		caller.socket.write(toRequest(20_000).slice(0, 100));
		await waitUntil(() => server.connections() > 0 || undefined, {deadlineMs, what: 'a connection'});
		server.setBounds(raised);
		caller.socket.write(toRequest(20_000).slice(100));
		await waitUntil(() => caller.text().includes('\r\n\r\n') || undefined, {deadlineMs, what: 'an answer'});
		assert.match(caller.text(), /^HTTP\/1\.1 503 /v);
		assert.match(caller.text(), /connection-outdated/v);
	});

	it('refuses larger headers once the limit is lowered', async t => {
		const server = await start(t);
		server.setBounds({...usual, maxHeaderBytes: 4096});
		const caller = await open(server);
		assert.equal(await caller.ask(10_000), 431);
	});

	it('keeps connections open while their limit stays the same', async t => {
		const server = await start(t);
		const caller = await open(server);
		assert.equal(await caller.ask(10), 200);
		server.setBounds({...usual, keepAliveTimeoutMs: deadlineMs / 2});
		assert.equal(await caller.ask(10), 200);
		assert.equal(caller.isClosed(), false);
	});

	it('applies the time for headers to connections that are open', async t => {
		const server = await start(t);
		const caller = await open(server);
		caller.socket.write('GET / HTTP/1.1\r\n');
		server.setBounds({...usual, headersTimeoutMs: 300});
		await waitUntil(() => caller.text().startsWith('HTTP/1.1 408') || undefined, {deadlineMs, what: 'a refusal'});
	});

	// Guards against any order of changes, requests and new connections in which a request within the limit in force is denied.
	it('denies no request within the limit in force (property)', async t => {
		const steps = fc.array(fc.oneof(
			fc.record({limit: fc.constantFrom(4096, 16_384, 32_768, 65_536)}),
			fc.record({caller: fc.integer({min: 0, max: 2}), share: fc.constantFrom(0.1, 0.8)}),
		), {minLength: 2, maxLength: 12});
		await fc.assert(fc.asyncProperty(steps, async script => {
			const cleanups: Array<() => unknown> = [];
			const server = await start({
				after(cleanup) {
					cleanups.push(cleanup as () => unknown);
				},
			});
			const callers: Array<Caller | undefined> = [];
			let limit = usual.maxHeaderBytes;
			for (const step of script) {
				if ('limit' in step) {
					limit = step.limit;
					server.setBounds({...usual, maxHeaderBytes: limit});
					continue;
				}

				const kept = callers[step.caller];
				const caller = kept === undefined || kept.isClosed() ? await open(server) : kept;
				callers[step.caller] = caller;
				const status = await Promise.race([caller.ask(Math.floor(limit * step.share)), once(caller.socket, 'close')]);
				assert.ok(status === 200 || status === 503 || caller.isClosed(), String(status));
			}

			for (const caller of callers) {
				caller?.socket.destroy();
			}

			await Promise.all(cleanups.map(async cleanup => cleanup()));
		}), {numRuns: 30});
		t.diagnostic('30 series');
	});
});
