/** Tests of the relay without faults, as callers and servers of the users' platform see it. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

describe('relay', () => {
	let fixture: RelayFixture;
	before(async () => {
		fixture = await startRelayFixture();
	});
	after(async () => fixture.stop());

	it('passes on a request with its body, the remaining time and the instance of the server', async () => {
		const {servers, ask} = fixture;
		const answer = await ask({
			path: '/lookup/box?nr=7', body: 'opaque', headers: {
				'request-id': 'plain-1', 'deadline-ms': '1000', 'kv-hold': 'stolen', 'pin-ms': '9', 'x-own': 'kept',
			},
		});
		assert.equal(answer.status, 200);
		const served = [...servers.desk1.runs(), ...servers.desk2.runs()].find(({headers}) => headers['request-id'] === 'plain-1')!;
		assert.deepEqual([served.method, served.target, served.body, served.headers['x-own']], ['POST', '/lookup/box?nr=7', 'opaque', 'kept']);
		assert.ok(Number(served.headers['deadline-ms']) <= 1000 && Number(served.headers['deadline-ms']) > 500);
		assert.match(String(served.headers['expect-instance']), /^desk/v);
		assert.equal(served.headers['kv-hold'], undefined);
		assert.equal(served.headers['pin-ms'], undefined);
		assert.match(String(answer.headers['server-seal']), /^seal-of-desk/v);
		assert.equal(answer.headers['request-id'], 'plain-1');
	});

	it('reserves a decode slot, has the prompt computed, and relays the events unchanged', async () => {
		const {servers, ask, caches} = fixture;
		const answer = await ask({path: '/summary/1', body: 'prompt', headers: toStreamHeaders({'request-id': 'stream-1'})});
		assert.equal(answer.status, 200);
		assert.equal(answer.body, [1, 2, 3].map(event => `id: ${event}\ndata: piece ${event} of stream-1\n\n`).join(''));
		assert.ok(answer.isWhole);
		const decode = [servers.decode1, servers.decode2].find(server => server.runs().length > 0)!;
		const prefill = [servers.prefill1, servers.prefill2].find(server => server.arrivals.length > 0)!;
		assert.deepEqual(decode.arrivals.map(({step}) => step), ['reserve', 'decode']);
		assert.deepEqual(JSON.parse(decode.arrivals[0]!.body), {tokens: 4000, ttl_ms: 2000});
		assert.deepEqual(prefill.arrivals.map(({step, body}) => [step, body]), [['prefill', 'prompt']]);
		const [, run] = decode.arrivals;
		assert.match(String(run!.headers['kv-source']), new RegExp(`^${prefill.address}/cache-`, 'v'));
		assert.equal(run!.headers['token-count'], '3000,2000');
		assert.equal(caches.size, 0);
	});

	const notFound: ReadonlyArray<{name: string; asked: Parameters<RelayFixture['ask']>[0]}> = [
		{name: 'a path without a matching route', asked: {path: '/nothing/'}},
		{name: 'a host without a route', asked: {headers: {host: 'other.example'}}},
	];
	for (const {name, asked} of notFound) {
		it(`answers 404 for ${name}`, async () => {
			const answer = await fixture.ask(asked);
			assert.equal(answer.status, 404);
		});
	}

	it('takes the route with the longest prefix', async () => {
		const {ask, askUntil, publishRoutes, servers} = fixture;
		publishRoutes(2, route => route.name === 'lookups' ? {...route, prefix: '/lookup/deep/', service: 'spare'} : (route.name === 'checks' ? {...route, prefix: '/lookup/'} : route));
		await askUntil({path: '/lookup/deep/1'}, 503);
		const before = servers.desk1.runs().length + servers.desk2.runs().length;
		const answer = await ask({path: '/lookup/other/1'});
		assert.equal(answer.status, 200);
		assert.equal(servers.desk1.runs().length + servers.desk2.runs().length, before + 1);
	});

	it('reads the store at most five times while only heartbeats are written', async () => {
		const {store, publishServer, servers} = fixture;
		const readsBefore = store.reads();
		for (let beat = 2; beat < 12; beat++) {
			publishServer(servers.desk1, {sequence: beat});
			await new Promise(resolve => {
				setTimeout(resolve, 100);
			});
		}

		assert.ok(store.reads() - readsBefore <= 5, `${store.reads() - readsBefore} reads`);
	});

	it('answers 413 to a body over the published limit, and calls no server', async () => {
		const {ask, servers} = fixture;
		const before = servers.desk1.arrivals.length + servers.desk2.arrivals.length;
		const answer = await ask({path: '/lookup/1', body: 'x'.repeat(70_000)});
		assert.equal(answer.status, 413);
		assert.equal(servers.desk1.arrivals.length + servers.desk2.arrivals.length, before);
	});

	it('logs the stages of a request in order', async () => {
		const {ask, logs} = fixture;
		await ask({path: '/summary/2', headers: toStreamHeaders({'request-id': 'told-1'})});
		const story = await waitUntil(() => {
			const lines = logs().filter(line => line.requestId === 'told-1').map(({message}) => message);
			return lines.includes('request ended') && lines;
		}, {deadlineMs, what: 'the last line of the request'});
		assert.deepEqual(story, ['request received', 'prompt computed', 'request ended']);
	});
});
