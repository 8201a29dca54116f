/** Keys of callers, as seen by callers of the relay and by its backend servers. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type Arrival} from '../stand-ins/users-platform/server.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

let fixture: RelayFixture;

const keys = {old: 'key-of-naslovnik-1', next: 'key-of-naslovnik-2', other: 'key-of-glossworks'};
const unknownKey = 'key-of-nobody';
const tenants = [{name: 'naslovnik', api_keys: [keys.old, keys.next]}, {name: 'glossworks', api_keys: [keys.other]}];

const toHeaders = (key: string, over: Record<string, string> = {}): Record<string, string> => ({authorization: `Bearer ${key}`, ...over});

const listArrivals = (): Arrival[] => Object.values(fixture.servers).flatMap(({arrivals}) => arrivals);

function assertNoKey(text: string): void {
	for (const key of [...Object.values(keys), unknownKey]) {
		assert.ok(!text.includes(key), `${key} in ${text.slice(0, 500)}`);
	}
}

async function publish(version: number, published: ReadonlyArray<Record<string, unknown>> = tenants, change?: Parameters<RelayFixture['publishRoutes']>[1]): Promise<void> {
	fixture.setTenants(published);
	fixture.publishRoutes(version, change);
	await waitUntil(() => fixture.logs().some(line => line.edition === version), {deadlineMs, what: `edition ${version} in force`});
}

/*
 * Guards against a key that reaches a backend server or a log line, a server that is
 * told another workspace than the key's, and a key that is served although no
 * configuration in force holds it.
 */
describe('keys of callers', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture();
	});
	afterEach(async () => fixture.stop());

	it('are replaced by the name of their workspace on each call to a server, also when servers fail', async () => {
		await publish(2);
		const {ask, servers, logs} = fixture;
		servers.desk1.addFaults('fail', 'refuse', 'reset');
		servers.prefill1.addFaults('fail', 'refuse');
		servers.decode1.addFaults('refuse', 'cut-stream');
		for (let i = 0; i < 4; i++) {
			await ask({path: '/check/1', headers: toHeaders(keys.old, {tenant: 'glossworks', TENANT: 'x'})});
			await ask({path: '/notice/1', body: 'prompt', headers: toStreamHeaders(toHeaders(keys.other, {tenant: 'naslovnik'}))});
		}

		const arrivals = listArrivals();
		assert.ok(arrivals.length >= 16, `${arrivals.length} calls`);
		assertNoKey(JSON.stringify(arrivals));
		assertNoKey(JSON.stringify(logs()));
		for (const {step, target, headers} of arrivals) {
			const isRequest = step === 'whole' || step === 'prefill' || step === 'decode';
			assert.equal(headers.tenant, isRequest ? (target.startsWith('/check/') ? 'naslovnik' : 'glossworks') : undefined);
		}
	});

	it('that no workspace holds get 401, as do requests without one, and no server is called', async () => {
		await publish(2);
		const before = listArrivals().length;
		const answers = await Promise.all([{}, toHeaders(unknownKey), {authorization: `Basic ${keys.old}`}].map(async headers => fixture.ask({headers})));
		assert.deepEqual(answers.map(({status}) => status), [401, 401, 401]);
		assert.equal(listArrivals().length, before);
		assertNoKey(JSON.stringify([answers, fixture.logs()]));
	});

	it('are refused once they are taken away, while the other keys of the workspace go on', async () => {
		await publish(2);
		const served = await fixture.ask({headers: toHeaders(keys.old)});
		assert.equal(served.status, 200);
		await publish(3, [{name: 'naslovnik', api_keys: [keys.next]}]);
		const answers = await Promise.all([keys.old, keys.next, keys.other].map(async key => fixture.ask({headers: toHeaders(key)})));
		assert.deepEqual(answers.map(({status}) => status), [401, 200, 401]);
	});

	it('are all refused after the last one was taken away', async () => {
		await publish(2);
		await publish(3, [{name: 'naslovnik', api_keys: []}]);
		const answers = await Promise.all([{}, toHeaders(keys.old)].map(async headers => fixture.ask({headers})));
		assert.deepEqual(answers.map(({status}) => status), [401, 401]);
	});

	it('are not needed on public routes, which are served for no workspace and without the caller\'s claim', async () => {
		await publish(2, tenants, route => ({...route, public: route.name === 'lookups'}));
		const callers: Array<Record<string, string>> = [{}, toHeaders(unknownKey), {tenant: 'naslovnik'}];
		const answers = await Promise.all(callers.map(async headers => fixture.ask({headers})));
		assert.deepEqual(answers.map(({status}) => status), [200, 200, 200]);
		assert.deepEqual(listArrivals().map(({headers}) => headers.tenant), [undefined, undefined, undefined]);
		assertNoKey(JSON.stringify(listArrivals()));
	});

	it('that are unknown to a host which the platform does not answer are refused as not run', async () => {
		await publish(2);
		fixture.store.setMode('refusing');
		fixture.store.cutWatches();
		const answer = await fixture.askUntil({headers: toHeaders(unknownKey)}, 503);
		assert.notEqual(answer.headers['retry-after'], undefined);
		const served = await fixture.ask({headers: toHeaders(keys.old)});
		assert.equal(served.status, 200);
	});
});
