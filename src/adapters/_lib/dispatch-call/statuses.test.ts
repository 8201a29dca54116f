import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import fc from 'fast-check';
import {createHttpAgent} from '../create-http-agent/index.js';
import {readAnswer} from '../read-answer/index.js';

const timeoutMs = 5000;

describe('dispatchCall, statuses', () => {
	let status = '';
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end(`HTTP/1.1 ${status} Any\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok`);
		});
	});
	before(async () => {
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});
	after(() => {
		server.close();
	});

	async function ask(next: string) {
		status = next;
		const dispatcher = createHttpAgent({connections: 1, connectTimeoutMs: timeoutMs});
		const answer = await readAnswer({
			dispatcher, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', headersTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs,
		}, 1000);
		await dispatcher.destroy();
		return answer;
	}

	// Guards against an answer with a status that HTTP has not, such as 000 or 600, which is passed on as it is.
	it('counts no answer with a status outside of HTTP (property)', async () => {
		const text = fc.oneof(
			fc.constantFrom('000', '001', '099', '0', '00', '1000', '-20', '2OO', '200200', ' 200', '600', '999'),
			fc.integer({min: 600, max: 9999}).map(String),
			fc.integer({min: 0, max: 99}).map(value => String(value).padStart(3, '0')),
		);
		await fc.assert(fc.asyncProperty(text, async odd => {
			const answer = await ask(odd);
			assert.ok(answer.isErr(), `${odd} counts as ${JSON.stringify(answer.unwrapOr(undefined))}`);
		}), {numRuns: 80});
	});

	it('counts each status from 200 to 599', async () => {
		for (const usual of [200, 206, 299, 300, 404, 431, 500, 503, 599]) {
			const answer = await ask(String(usual));
			assert.equal(answer.map(whole => whole.status)._unsafeUnwrap(), usual);
		}
	});
});
