import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ServerEntry} from '../../ports/config.js';
import {createEngines, type EngineClient} from './index.js';

function toServer(id: string, url = `http://192.0.2.1/${id}`): ServerEntry {
	return {
		id, url, zone: 'a', role: 'decode', pool: 'scenes', slots: 1, checksFence: false,
	};
}

function createFixture() {
	const closed: string[] = [];
	const engines = createEngines(({url}) => {
		const client: Pick<EngineClient, 'close'> = {
			async close() {
				closed.push(url);
			},
		};
		return client as EngineClient;
	});
	return {engines, closed};
}

describe('createEngines', () => {
	it('keeps one client for each server', () => {
		const {engines, closed} = createFixture();
		const client = engines.toEngine(toServer('decode-1'));
		assert.equal(engines.toEngine(toServer('decode-1')), client);
		assert.equal(engines.findEngine('decode-1'), client);
		assert.equal(engines.findEngine('decode-2'), undefined);
		assert.deepEqual(closed, []);
	});

	it('replaces the client of a server whose address changed', () => {
		const {engines, closed} = createFixture();
		const client = engines.toEngine(toServer('decode-1', 'http://192.0.2.1:1'));
		assert.notEqual(engines.toEngine(toServer('decode-1', 'http://192.0.2.1:2')), client);
		assert.deepEqual(closed, ['http://192.0.2.1:1']);
	});

	it('closes only the clients of servers that are no longer in the configuration', () => {
		const {engines, closed} = createFixture();
		const kept = engines.toEngine(toServer('decode-1'));
		engines.toEngine(toServer('decode-2'));
		engines.keepOnly(new Set(['decode-1', 'decode-3']));
		assert.deepEqual(closed, ['http://192.0.2.1/decode-2']);
		assert.equal(engines.findEngine('decode-1'), kept);
		assert.equal(engines.findEngine('decode-2'), undefined);
	});

	it('closes every client when it is closed', async () => {
		const {engines, closed} = createFixture();
		engines.toEngine(toServer('decode-1'));
		engines.toEngine(toServer('decode-2'));
		await engines.close();
		assert.deepEqual(closed, ['http://192.0.2.1/decode-1', 'http://192.0.2.1/decode-2']);
	});
});
