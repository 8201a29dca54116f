import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {type AnswerOwner} from '../../../domain/judge-answer-owner/index.js';
import {createHttpAgent} from '../create-http-agent/index.js';
import {readAnswer} from './index.js';

const timeoutMs = 2000;

/** Reads two answers one after the other, and returns the first one and the number of connections that were opened. */
async function readTwo(owner: AnswerOwner) {
	let connections = 0;
	const server = createServer((_, res) => {
		res.end('body');
	}).listen(0, '127.0.0.1');
	server.on('connection', () => {
		connections++;
	});
	await once(server, 'listening');
	const dispatcher = createHttpAgent({connections: 1, connectTimeoutMs: timeoutMs});
	const read = async () => readAnswer({
		dispatcher, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', headersTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs,
	}, 100, {toOwner: () => owner});
	const first = await read();
	await read();
	await dispatcher.destroy();
	server.close();
	return {first, connections};
}

// Guards against a connection that stays in use, on which a copy of an answer or the call's own answer may still come.
describe('readAnswer', () => {
	it('reads its own answer, and uses the connection again', async () => {
		const {first, connections} = await readTwo({kind: 'own', isReusable: true});
		assert.equal(first._unsafeUnwrap().text, 'body');
		assert.equal(connections, 1);
	});

	it('reads the head of its own answer alone, and closes the connection, if that may not be used again', async () => {
		const {first, connections} = await readTwo({kind: 'own', isReusable: false});
		const {status, text} = first._unsafeUnwrap();
		assert.deepEqual([status, text], [200, '']);
		assert.equal(connections, 2);
	});

	it('reads nothing of the answer to another call, and closes the connection', async () => {
		const {first, connections} = await readTwo({kind: 'foreign', reason: 'it names another request'});
		assert.equal(first._unsafeUnwrapErr().kind, 'foreign');
		assert.equal(connections, 2);
	});
});
