import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {describe, it} from 'node:test';
import {createDeferred} from '../../src/_lib/create-deferred/index.js';
import {connectPeer, type PeerFailure} from '../../src/adapters/peer-tcp/index.js';
import {
	foreignTestCa, foreignTestPair, testCa, testPairA, testPairB,
} from '../_lib/keys/index.js';
import {
	callerHello, deadlineMs, expectFailure, hello, startListener, expectSuccess, within,
} from './_lib/peer-fixture.js';

async function never(): Promise<unknown> {
	const {promise} = createDeferred();
	return promise;
}

describe('connectPeer', () => {
	it('exchanges hellos, calls both ways, events and a graceful close', async () => {
		const events: unknown[] = [];
		const listener = await startListener({
			onEvent(_peer, name, body) {
				events.push([name, body]);
			},
		});
		const peer = await expectSuccess(connectPeer({
			address: `127.0.0.1:${listener.port}`, hello: callerHello, onCall: async (_peer, method) => `${method} answered`,
		}));
		assert.deepEqual(peer.peer, hello);
		assert.ok(peer.send('note', {n: 1}));
		assert.deepEqual(await expectSuccess(peer.call('m', [1], {timeoutMs: deadlineMs})), {method: 'm', body: [1]});
		assert.deepEqual(events, [['note', {n: 1}]]);
		const [back] = listener.connections();
		assert.equal(await expectSuccess(back!.call('back', 0, {timeoutMs: deadlineMs})), 'back answered');
		peer.close();
		await within(back!.closed);
		await listener.close();
	});

	const failures: ReadonlyArray<{name: string; expected: Pick<PeerFailure, 'kind' | 'sent'>; run: () => Promise<PeerFailure>}> = [
		{
			name: 'no listener', expected: {kind: 'unreachable', sent: false}, async run() {
				const listener = await startListener();
				await listener.close();
				return expectFailure(connectPeer({address: `127.0.0.1:${listener.port}`, hello: callerHello}));
			},
		},
		{
			name: 'an invalid address', expected: {kind: 'unreachable', sent: false}, async run() {
				return expectFailure(connectPeer({address: 'somewhere', hello: callerHello}));
			},
		},
		{
			name: 'a listener that never says hello', expected: {kind: 'unreachable', sent: false}, async run() {
				const server = net.createServer(() => undefined).listen(0, '127.0.0.1');
				await once(server, 'listening');
				const {port} = server.address() as net.AddressInfo;
				const failure = await expectFailure(connectPeer({address: `127.0.0.1:${port}`, hello: callerHello, connectTimeoutMs: 200}));
				server.close();
				return failure;
			},
		},
		{
			name: 'a call after the close', expected: {kind: 'not-sent', sent: false}, async run() {
				const listener = await startListener();
				const peer = await expectSuccess(connectPeer({address: `127.0.0.1:${listener.port}`, hello: callerHello}));
				await listener.close();
				await within(peer.closed);
				return expectFailure(peer.call('m', 1, {timeoutMs: deadlineMs}));
			},
		},
		{
			name: 'a call longer than a frame', expected: {kind: 'not-sent', sent: false}, async run() {
				const listener = await startListener();
				const peer = await expectSuccess(connectPeer({address: `127.0.0.1:${listener.port}`, hello: callerHello}));
				const failure = await expectFailure(peer.call('m', 'x'.repeat(3_000_000), {timeoutMs: deadlineMs}));
				await listener.close();
				return failure;
			},
		},
		{
			name: 'a reply that does not come', expected: {kind: 'timed-out', sent: true}, async run() {
				const listener = await startListener({onCall: never});
				const peer = await expectSuccess(connectPeer({address: `127.0.0.1:${listener.port}`, hello: callerHello}));
				const failure = await expectFailure(peer.call('m', 1, {timeoutMs: 50}));
				await listener.close();
				return failure;
			},
		},
		{
			name: 'a connection that closes before the reply', expected: {kind: 'broken', sent: true}, async run() {
				const listener = await startListener({
					async onCall(_peer, _method, _body, connection) {
						connection.close();
						return never();
					},
				});
				const peer = await expectSuccess(connectPeer({address: `127.0.0.1:${listener.port}`, hello: callerHello}));
				const failure = await expectFailure(peer.call('m', 1, {timeoutMs: deadlineMs}));
				await listener.close();
				return failure;
			},
		},
		{
			name: 'a handler that fails', expected: {kind: 'failed', sent: true}, async run() {
				const listener = await startListener({
					async onCall() {
						throw new Error('no such method');
					},
				});
				const peer = await expectSuccess(connectPeer({address: `127.0.0.1:${listener.port}`, hello: callerHello}));
				const failure = await expectFailure(peer.call('m', 1, {timeoutMs: deadlineMs}));
				await listener.close();
				return failure;
			},
		},
		{
			name: 'too many outstanding calls', expected: {kind: 'not-sent', sent: false}, async run() {
				const listener = await startListener({onCall: never});
				const peer = await expectSuccess(connectPeer({address: `127.0.0.1:${listener.port}`, hello: callerHello, limits: {outstandingCalls: 1}}));
				const first = peer.call('m', 1, {timeoutMs: 50});
				const failure = await expectFailure(peer.call('m', 2, {timeoutMs: 50}));
				await first;
				await listener.close();
				return failure;
			},
		},
	];
	for (const {name, expected, run} of failures) {
		it(`reports ${expected.kind} and sent ${expected.sent} on ${name}`, async () => {
			const {kind, sent} = await within(run());
			assert.deepEqual({kind, sent}, expected);
		});
	}
});

describe('mutual TLS between peers', () => {
	const keysA = {...testPairA, ca: testCa};
	const strangers: ReadonlyArray<{name: string; tls: (() => {key: string; cert: string; ca?: string}) | undefined}> = [
		{name: 'no TLS', tls: undefined},
		{name: 'a certificate of another authority', tls: () => ({...foreignTestPair, ca: testCa})},
		{name: 'trust in another authority', tls: () => ({...testPairB, ca: foreignTestCa})},
	];
	for (const {name, tls} of strangers) {
		it(`handles no call of a peer with ${name}`, async () => {
			let calls = 0;
			const listener = await startListener({
				tls: () => keysA,
				limits: {helloTimeoutMs: 500},
				async onCall() {
					calls += 1;
				},
			});
			const connected = await within((async () => connectPeer({
				address: `127.0.0.1:${listener.port}`, hello: callerHello, tls, connectTimeoutMs: 2000,
			}))());
			if (connected.isOk()) {
				// With TLS 1.3 a client can complete its handshake before the server refuses it.
				await expectFailure(connected.value.call('m', 1, {timeoutMs: 2000}));
			}

			assert.equal(calls, 0);
			await listener.close();
		});
	}

	it('serves peers of its authority, and loads new keys without closing connections', async () => {
		let keys = keysA;
		const listener = await startListener({tls: () => keys});
		const connect = async () => expectSuccess(connectPeer({address: `127.0.0.1:${listener.port}`, hello: callerHello, tls: () => ({...testPairB, ca: testCa})}));
		const first = await connect();
		keys = {...testPairB, ca: testCa};
		listener.reloadKeys();
		const second = await connect();
		for (const peer of [first, second]) {
			assert.deepEqual(await expectSuccess(peer.call('m', 1, {timeoutMs: deadlineMs})), {method: 'm', body: 1});
		}

		await listener.close();
	});
});
