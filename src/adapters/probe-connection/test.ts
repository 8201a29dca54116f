import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {probeConnection} from './index.js';

describe('probeConnection', () => {
	it('tells a port that accepts connections from a closed one', async () => {
		const server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
		assert.equal(await probeConnection(url, 5000), true);
		server.close();
		await once(server, 'close');
		assert.equal(await probeConnection(url, 5000), false);
	});
});
