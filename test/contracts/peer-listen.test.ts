import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {connectPeer} from '../../src/adapters/peer-tcp/index.js';
import {
	callerHello, deadlineMs, hello, helloFrame, startListener, expectSuccess, toBytes, within,
} from './_lib/peer-fixture.js';

/** Writes raw bytes to a listener, and returns what was received until the connection closed. */
async function sendRaw(port: number, parts: readonly Buffer[], {reset = false} = {}) {
	const socket = net.connect({host: '127.0.0.1', port});
	const received: Buffer[] = [];
	const closed = new Promise<void>(resolve => {
		socket.on('close', () => {
			resolve();
		});
	});
	socket.on('error', () => undefined);
	socket.on('data', bytes => received.push(bytes));
	const [first, ...rest] = parts;
	if (first) {
		socket.write(first);
	}

	if (rest.length > 0) {
		await within(once(socket, 'data'));
		socket.write(Buffer.concat(rest));
	}

	if (reset) {
		await sleep(50);
		socket.resetAndDestroy();
	}

	await within(closed);
	return Buffer.concat(received);
}

describe('listenPeers', () => {
	const big = Buffer.alloc(4);
	big.writeUInt32BE(3 * 1024 * 1024);
	const cases: ReadonlyArray<{name: string; parts: readonly Buffer[]; reset?: boolean; greeted: boolean}> = [
		{name: 'an HTTP request', parts: [Buffer.from('GET / HTTP/1.1\r\n\r\n')], greeted: false},
		{name: 'an oversized frame as soon as its length arrives', parts: [big], greeted: false},
		{name: 'another protocol version', parts: [toBytes({...helloFrame, protocol: 2})], greeted: false},
		{
			name: 'a call before the hello', parts: [toBytes({
				type: 'call', id: 1, method: 'x', body: 1,
			})], greeted: false,
		},
		{name: 'a hello without a host', parts: [toBytes({...helloFrame, host: undefined})], greeted: false},
		{name: 'a frame that is not a map', parts: [toBytes([1, 2])], greeted: false},
		{name: 'bytes that are not CBOR', parts: [toBytes(Buffer.from([0xFF, 0x1C, 0x5F]))], greeted: false},
		{name: 'no hello before the timeout', parts: [], greeted: false},
		{name: 'an incomplete hello', parts: [toBytes(helloFrame).subarray(0, 20)], greeted: false},
		{
			name: 'a reset before the hello is complete', parts: [toBytes(helloFrame).subarray(0, 20)], reset: true, greeted: false,
		},
		{name: 'two hellos', parts: [toBytes(helloFrame), toBytes(helloFrame)], greeted: true},
		{name: 'an unknown type after the hello', parts: [toBytes(helloFrame), toBytes({type: 'gossip'})], greeted: true},
		{name: 'garbage after the hello', parts: [toBytes(helloFrame), Buffer.alloc(64, 0xFE)], greeted: true},
		{name: 'a call without an id', parts: [toBytes(helloFrame), toBytes({type: 'call', method: 'x'})], greeted: true},
	];
	for (const {name, parts, reset, greeted} of cases) {
		it(`closes the connection on ${name} and keeps serving others`, async () => {
			const listener = await startListener({limits: {helloTimeoutMs: 500}});
			const answer = await sendRaw(listener.port, parts, {reset});
			assert.equal(answer.length > 0, greeted);
			const other = await within(connectPeer({address: `127.0.0.1:${listener.port}`, hello: callerHello}).match(value => value, error => error.message));
			assert.ok(typeof other === 'object');
			const reply = await other.call('echo', 7, {timeoutMs: deadlineMs});
			assert.deepEqual(reply._unsafeUnwrap(), {method: 'echo', body: 7});
			await listener.close();
		});
	}

	it('handles a call once when its peer resets the connection', async () => {
		const started: string[] = [];
		const listener = await startListener({
			async onCall(_peer, method) {
				started.push(method);
				await sleep(20);
				return 1;
			},
		});
		await sendRaw(listener.port, [toBytes(helloFrame), toBytes({
			type: 'call', id: 1, method: 'slow', body: 1,
		})], {reset: true});
		assert.deepEqual(started, ['slow']);
		await listener.close();
	});

	it('stops reading from a peer with too many unhandled calls, and later continues', async () => {
		let running = 0;
		let most = 0;
		const listener = await startListener({
			limits: {handledCalls: 4},
			async onCall() {
				running += 1;
				most = Math.max(most, running);
				await sleep(1);
				running -= 1;
				return 1;
			},
		});
		const peer = await expectSuccess(connectPeer({address: `127.0.0.1:${listener.port}`, hello: callerHello}));
		const body = 'x'.repeat(100_000);
		const replies = await within(Promise.all(Array.from({length: 30}, async () => peer.call('one', body, {timeoutMs: deadlineMs}))));
		assert.ok(replies.every(reply => reply.isOk()));
		assert.ok(most < 30);
		await listener.close();
	});
});
