import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {listenPeers, type PeerHello} from '../../../adapters/peer-tcp/index.js';
import {createMesh} from './create-mesh.js';

const toHello = (host: string): PeerHello => ({
	host, zone: 'a', role: 'agent', incarnation: 1,
});

describe('createMesh', () => {
	it('reports once why a peer is unreachable, and again only after it was reached', async context => {
		const reported: string[] = [];
		const mesh = createMesh({
			hello: () => toHello('a-1'),
			tls: undefined,
			onCall: async () => undefined,
			onEvent: () => undefined,
			silenceMs: 1000,
			onUnreachable(address, reason) {
				assert.match(reason, /was not reached/);
				reported.push(address);
			},
		});
		const listen = async (port: number) => listenPeers({
			bind: '127.0.0.1', port, hello: toHello('a-2'), onCall: async () => 'here',
		});
		const ask = async (address: string) => mesh.call({to: 'a-2', address}, 'any', {}, {timeoutMs: 10_000});
		const first = await listen(0);
		const {port} = first;
		const address = `127.0.0.1:${port}`;
		await first.close();
		for (let i = 0; i < 3; i++) {
			const failed = await ask(address);
			assert.ok(failed.isErr());
		}

		assert.deepEqual(reported, [address]);
		const second = await listen(port);
		context.after(mesh.close);
		const reached = await ask(address);
		assert.equal(reached._unsafeUnwrap(), 'here');
		await second.close();
		// The mesh notices the end of its connection asynchronously.
		const end = performance.now() + 10_000;
		while (reported.length < 2 && performance.now() < end) {
			await ask(address);
		}

		assert.deepEqual(reported, [address, address]);
	});
});
