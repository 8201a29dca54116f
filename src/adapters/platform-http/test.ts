import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createPlatformHttp, type PlatformHttp} from './index.js';

const answerTimeoutMs = 300;
const pieceMs = 50;

/** Starts a platform that writes its answers as given, and uses its client. */
async function withPlatform<Value>(write: (res: ServerResponse) => Promise<void>, use: (platform: PlatformHttp) => Promise<Value>): Promise<Value> {
	const server = createServer((_, res) => {
		void write(res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const platform = createPlatformHttp({url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, answerTimeoutMs});
	try {
		return await use(platform);
	} finally {
		await platform.close();
		server.closeAllConnections();
		server.close();
	}
}

/** Writes a text in pieces, until it ends or its reader has left. */
async function writePieces(res: ServerResponse, text: string, pieceLength: number): Promise<void> {
	res.writeHead(200, {'content-length': Buffer.byteLength(text)});
	for (let at = 0; at < text.length; at += pieceLength) {
		if (res.destroyed) {
			return;
		}

		res.write(text.slice(at, at + pieceLength));
		await sleep(pieceMs);
	}

	res.end();
}

describe('createPlatformHttp', () => {
	it('reads a long value to its end on a slow link', async () => {
		const value = 'x'.repeat(500_000);
		const read = await withPlatform(async res => writePieces(res, JSON.stringify({revision: 4, value}), 40_000), async platform => platform.watch('config', 3, 100, new AbortController().signal));
		assert.equal(read._unsafeUnwrap()?.value, value);
	});

	// Guards against an agent that is held by an answer which comes byte by byte, and follows no change meanwhile.
	it('gives up an answer that comes byte by byte', async () => {
		const startedAt = performance.now();
		const read = await withPlatform(async res => writePieces(res, JSON.stringify({revision: 4, value: 'x'.repeat(1000)}), 1), async platform => platform.read('config'));
		assert.equal(read._unsafeUnwrapErr().kind, 'unreachable');
		assert.ok(performance.now() - startedAt < 10 * answerTimeoutMs);
	});
});
