/** Tests of reads whose answers arrive slowly, stop on the way, or come byte by byte. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createStore} from '../../platform/store.js';
import {platformTimeoutMs, type PublishedSource} from '../../src/ports/published.js';

/** Bytes that a link of 7 Mbit/s carries in each interval. */
const pieceBytes = 43_750;
const pieceMs = 50;

const toConfigItem = (routes: number, revision: number) => ({
	key: 'op/config',
	revision,
	value: Buffer.from(JSON.stringify({
		version: revision, routes: Array.from({length: routes}, (_, i) => ({
			name: `r-${i}`, host: 'a.example', prefix: `/p${i}/`, kind: 'safe', service: 's', timeout_ms: 800, target_latency_ms: 100, priority: 2, max_attempts: 2,
		})), services: [],
	})).toString('base64'),
});

const position = {era: undefined, revision: 1};

/** Starts a store that writes its answers as given, and uses its client. */
async function withWriter<Value>(write: (res: ServerResponse, target: string) => Promise<void> | void, use: (source: PublishedSource) => Promise<Value>): Promise<Value> {
	const server = createServer((req, res) => {
		void write(res, req.url ?? '');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const source = createStore(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	try {
		return await use(source);
	} finally {
		await source.close();
		server.closeAllConnections();
		server.close();
	}
}

/** Writes a body at the rate of a slow link. */
async function writeSlowly(res: ServerResponse, body: string): Promise<void> {
	const bytes = Buffer.from(body);
	res.writeHead(200, {'content-length': bytes.length});
	for (let at = 0; at < bytes.byteLength; at += pieceBytes) {
		if (res.destroyed) {
			return;
		}

		res.write(bytes.subarray(at, at + pieceBytes));
		await sleep(pieceMs);
	}

	res.end();
}

const {signal} = new AbortController();

describe('a store whose answers arrive slowly', () => {
	// Guards against hosts that cut off each answer with a large configuration, and serve by the old one without end.
	for (const how of ['watch', 'list'] as const) {
		it(`is read to the end of a long answer on a slow link: ${how}`, async () => {
			const item = toConfigItem(4900, 9);
			const body = JSON.stringify(how === 'watch' ? {events: [item], current_rev: 9} : {items: [item], truncated: false, current_rev: 9});
			assert.ok(Buffer.byteLength(body) > 1_000_000, `${Buffer.byteLength(body)} bytes`);
			const read = await withWriter(async res => writeSlowly(res, body), async source => how === 'watch' ? source.watch(position, 100, signal) : source.list(signal));
			const [change] = read._unsafeUnwrap().changes;
			assert.ok(change?.kind === 'rules', change?.kind);
			assert.equal(change.rules.rules.length, 4900);
		});
	}

	it('is reported as long while its answer arrives', async () => {
		let longAt: number | undefined;
		const body = JSON.stringify({events: [toConfigItem(2000, 9)], current_rev: 9});
		const endedAt = await withWriter(async res => writeSlowly(res, body), async source => {
			await source.watch(position, 100, signal, {
				onLong() {
					longAt = performance.now();
				},
			});
			return performance.now();
		});
		assert.ok(longAt !== undefined && endedAt - longAt > 5 * pieceMs, `long at ${longAt}, ended at ${endedAt}`);
	});

	const stops: ReadonlyArray<{what: string; write: (res: ServerResponse) => Promise<void> | void}> = [
		{what: 'sends nothing', write: () => undefined},
		{
			what: 'stops after its head', write(res) {
				res.writeHead(200, {'content-length': 1000});
				res.flushHeaders();
			},
		},
		{
			what: 'stops in its body', write(res) {
				res.writeHead(200, {'content-length': 1_000_000});
				res.write('x'.repeat(600_000));
			},
		},
		{
			what: 'comes byte by byte', async write(res) {
				res.writeHead(200, {'content-length': 1000});
				for (let i = 0; i < 1000 && !res.destroyed; i++) {
					res.write('x');
					await sleep(pieceMs);
				}
			},
		},
	];
	for (const {what, write} of stops) {
		// Guards against a host that waits for a platform that has gone, and uses servers that have left.
		it(`is given up when an answer ${what}`, async () => {
			const startedAt = performance.now();
			const read = await withWriter(async res => write(res), async source => source.watch(position, 100, signal));
			const tookMs = performance.now() - startedAt;
			assert.equal(read._unsafeUnwrapErr().kind, 'unreachable');
			assert.ok(read._unsafeUnwrapErr().silentMs !== undefined, read._unsafeUnwrapErr().message);
			assert.ok(tookMs >= platformTimeoutMs && tookMs < 100 + (4 * platformTimeoutMs), `${Math.round(tookMs)} ms`);
		});
	}

	it('is asked for the newest version alone when an answer announces several', async () => {
		const item = toConfigItem(4900, 9);
		const body = JSON.stringify({events: [item, item, item], current_rev: 9});
		const read = await withWriter(async res => writeSlowly(res, body), async source => {
			const startedAt = performance.now();
			const answer = await source.watch(position, 100, signal);
			return {kind: answer._unsafeUnwrapErr().kind, tookMs: performance.now() - startedAt};
		});
		assert.equal(read.kind, 'too-large');
		assert.ok(read.tookMs < platformTimeoutMs, `${Math.round(read.tookMs)} ms`);
	});
});
