import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {connect} from 'node:net';
import {type PeerCertificate} from 'node:tls';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	after, afterEach, describe, it,
} from 'node:test';
import {Agent, request} from 'undici';
import {loadKeys} from '../../src/adapters/keys/index.js';
import {type OperatorServer, type OperatorServerOptions, startOperatorServer} from '../../src/adapters/operator-http/index.js';
import {testCa, testPairA, testPairB} from '../_lib/keys/index.js';

const timeouts = {headersTimeout: 10_000, bodyTimeout: 10_000};
const token = 'a-token-of-the-test';
const servers: OperatorServer[] = [];

async function start(options: Partial<OperatorServerOptions> = {}): Promise<OperatorServer> {
	const started = await startOperatorServer({
		bind: '127.0.0.1',
		port: 0,
		readiness: () => ({ready: true, reasons: []}),
		metrics: () => 'a 1\n',
		status: () => ({hosts: 3}),
		slo: {toDocument: () => ({windows: []}), toPage: () => '<!doctype html><title>Burn</title>'},
		explain: requestId => requestId === 'r1' ? {requestId, stages: []} : undefined,
		...options,
	});
	const server = started._unsafeUnwrap();
	servers.push(server);
	return server;
}

async function ask(server: OperatorServer, route: string, options: {method?: 'GET' | 'POST' | 'HEAD'; headers?: Record<string, string>} = {}) {
	const {statusCode, headers, body} = await request(`http://127.0.0.1:${server.port}${route}`, {method: 'GET', ...options, ...timeouts});
	return {status: statusCode, headers, text: await body.text()};
}

/** Sends raw bytes and resolves with what was received until the connection closed or was idle for 5 s. */
async function sendRaw(port: number, bytes: string): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(port, '127.0.0.1');
		let text = '';
		socket.on('data', data => {
			text += data.toString();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(text);
		});
		socket.setTimeout(5000, () => socket.destroy());
		socket.write(bytes);
	});
}

afterEach(async () => {
	for (const server of servers.splice(0)) {
		await server.close(100);
	}
});

describe('startOperatorServer', () => {
	const rows: Array<{route: string; status: number; type: string; text: RegExp; headers?: Record<string, string>}> = [
		{
			route: '/health', status: 200, type: 'application/json', text: /"healthy":true/,
		},
		{
			route: '/ready', status: 200, type: 'application/json', text: /"ready":true/,
		},
		{
			route: '/metrics', status: 200, type: 'text/plain; version=0.0.4; charset=utf-8', text: /^a 1\n$/,
		},
		{
			route: '/status', status: 200, type: 'application/json', text: /^{"hosts":3}\n$/,
		},
		{
			route: '/slo', status: 200, type: 'application/json', text: /windows/,
		},
		{
			route: '/slo', status: 200, type: 'text/html; charset=utf-8', text: /Burn/, headers: {accept: 'text/html,*/*'},
		},
		{
			route: '/explain/r1', status: 200, type: 'application/json', text: /stages/,
		},
		{
			route: '/explain/r2', status: 404, type: 'application/problem+json', text: /too old/,
		},
		{
			route: '/v1/completions', status: 404, type: 'application/problem+json', text: /Ask for one of \/health/,
		},
	];
	for (const row of rows) {
		it(`answers ${row.route} ${JSON.stringify(row.headers ?? {})} with ${row.status} ${row.type}`, async () => {
			const answer = await ask(await start(), row.route, {headers: row.headers ?? {}});
			assert.equal(answer.status, row.status);
			assert.equal(answer.headers['content-type'], row.type);
			assert.match(answer.text, row.text);
		});
	}

	it('answers 503 with the reasons while the program is not ready', async () => {
		const reasons = [{reason: 'no configuration is in force', remedy: 'publish one'}];
		const answer = await ask(await start({readiness: () => ({ready: false, reasons})}), '/ready');
		assert.deepEqual([answer.status, JSON.parse(answer.text)], [503, {ready: false, reasons}]);
	});

	for (const method of ['POST', 'HEAD'] as const) {
		it(`answers ${method} without a body or with a problem`, async () => {
			const answer = await ask(await start(), '/status', {method});
			assert.deepEqual([answer.status, answer.text === ''], method === 'HEAD' ? [200, true] : [405, false]);
		});
	}

	for (const [name, authorization, status] of [
		['no token', undefined, 401],
		['another token', 'Bearer another', 401],
		['the beginning of the token', `Bearer ${token.slice(0, -1)}`, 401],
		['the token', `Bearer ${token}`, 200],
		['the token, scheme in lower case', `bearer ${token}`, 200],
	] as const) {
		it(`shows ${status === 200 ? 'everything' : 'nothing'} to ${name}`, async () => {
			const server = await start({token});
			for (const route of ['/health', '/ready', '/metrics', '/status', '/slo', '/explain/r1']) {
				const answer = await ask(server, route, {headers: authorization === undefined ? {} : {authorization}});
				assert.equal(answer.status, status, route);
				assert.equal(status === 200 || answer.text.includes('urn:banyanport:problem:unauthorized'), true);
			}
		});
	}

	it('answers with a problem and without a stack trace when a report throws', async () => {
		const faults: string[] = [];
		const server = await start({
			status() {
				throw new Error('internal detail');
			},
			onFault: route => faults.push(route),
		});
		const answer = await ask(server, '/status');
		assert.equal(answer.status, 500);
		assert.equal(answer.text.includes('internal detail'), false);
		assert.deepEqual(faults, ['/status']);
	});

	for (const [name, bytes, answer] of [
		['bytes that are not HTTP', 'hello\r\n\r\n', /^HTTP\/1\.1 400/],
		['headers over the limit', `GET /status HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(40_000)}\r\n\r\n`, /^HTTP\/1\.1 431/],
	] as const) {
		it(`refuses ${name} and keeps serving`, async () => {
			const server = await start();
			assert.match(await sendRaw(server.port, bytes), answer);
			const after = await ask(server, '/health');
			assert.equal(after.status, 200);
		});
	}

	it('names the flag to change when the port is taken', async () => {
		const {port} = await start();
		const started = await startOperatorServer({
			bind: '127.0.0.1', port, readiness: () => ({ready: true, reasons: []}), metrics: () => '', status: () => ({}),
		});
		assert.match(started._unsafeUnwrapErr().message, /EADDRINUSE.*--operator-port/);
	});
});

describe('startOperatorServer with TLS', () => {
	/*
	 * Operators replace certificate and key while a connection is open. New connections
	 * must get the new certificate, and the open one must stay usable: a server that
	 * restarts to load its keys would cut off its clients.
	 */
	it('loads new keys without dropping an open connection', async () => {
		const dir = await mkdtemp(path.join(tmpdir(), 'banyanport-operator-'));
		after(async () => rm(dir, {recursive: true}));
		const files = {certFile: path.join(dir, 'cert.pem'), keyFile: path.join(dir, 'key.pem')};
		await writeFile(files.certFile, testPairA.cert);
		await writeFile(files.keyFile, testPairA.key);
		const loaded = await loadKeys({...files, pollInterval: 1000, repeat: () => () => undefined});
		const keys = loaded._unsafeUnwrap();
		const server = await start({keys});
		const seen: string[] = [];
		const connectOptions = {
			ca: testCa,
			checkServerIdentity(_host: string, cert: PeerCertificate) {
				seen.push(String(cert.subject.CN));
				return undefined;
			},
		};
		const url = `https://127.0.0.1:${server.port}/health`;
		const first = new Agent({connect: connectOptions, connections: 1});
		const second = new Agent({connect: connectOptions, connections: 1});
		const status = async (dispatcher: Agent) => {
			const {statusCode, body} = await request(url, {dispatcher, ...timeouts});
			await body.dump();
			return statusCode;
		};

		assert.equal(await status(first), 200);
		await writeFile(files.certFile, testPairB.cert);
		await writeFile(files.keyFile, testPairB.key);
		await keys.check();
		assert.equal(await status(first), 200);
		assert.equal(await status(second), 200);
		assert.deepEqual(seen, ['banyanport test only a', 'banyanport test only b']);
		await first.close();
		await second.close();
	});
});
