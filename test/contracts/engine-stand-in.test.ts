/** Tests of the engine stand-in: its answers must agree with what it counts for tests. */
import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {type EngineRefusalReason, type LoadReport} from '../../src/ports/engine.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	maxTokens, owner, prepareDecode, prompt, readInto, reserve, runPrefill, startPair, stopAll, toClient, toKey,
} from './_lib/engine-fixture.js';

after(stopAll);

const expectReason = (result: {_unsafeUnwrapErr: () => {reason: EngineRefusalReason | undefined}}, reason: EngineRefusalReason): void => {
	assert.equal(result._unsafeUnwrapErr().reason, reason);
};

describe('the engine stand-in', () => {
	it('reserves no more than its slots, and releases a reservation when it expires', async () => {
		const pair = await startPair({slots: 2});
		const request = {
			promptTokens: 1, maxTokens: 1, ttlMs: 100, class: 'quick',
		} as const;
		const keys = [toKey(), toKey(), toKey()];
		const early = [await pair.decode.reserve(keys[0]!, request), await reserve(pair.decode, keys[1]!)];
		assert.ok(early.every(result => result.isOk()));
		expectReason(await reserve(pair.decode, keys[2]!), 'full');
		await waitUntil(() => pair.decodeEngine.judge().holds.length === 1, {deadlineMs: 5000, what: 'the first reservation to expire'});
		const late = await reserve(pair.decode, keys[2]!);
		assert.ok(late.isOk());
	});

	it('lets a KV cache expire and counts the cache as wasted', async () => {
		const pair = await startPair({kvTtlMs: 50});
		const key = toKey();
		const reserved = await reserve(pair.decode, key);
		const prefilled = await runPrefill(pair, key);
		await waitUntil(() => pair.prefillEngine.judge().wasted['expired-before-transfer'] === 1, {deadlineMs: 5000, what: 'the KV cache to expire'});
		const imported = await pair.decode.importKv({
			key, reservationId: reserved._unsafeUnwrap().reservationId, fromUrl: pair.prefillEngine.url, kvId: prefilled._unsafeUnwrap().kvId,
		});
		assert.equal(imported._unsafeUnwrapErr().kind, 'gone');
	});

	it('reports source-failed when a transfer breaks midway', async () => {
		const pair = await startPair();
		const key = toKey();
		const reserved = await reserve(pair.decode, key);
		const prefilled = await runPrefill(pair, key);
		pair.prefillEngine.setFaults({transfer: {kind: 'reset', times: 1}});
		const imported = await pair.decode.importKv({
			key, reservationId: reserved._unsafeUnwrap().reservationId, fromUrl: pair.prefillEngine.url, kvId: prefilled._unsafeUnwrap().kvId,
		});
		expectReason(imported, 'source-failed');
	});

	it('loses its holds but not its counts in a crash, and restarts on its port', async () => {
		const pair = await startPair({kvTtlMs: 20_000});
		const key = toKey();
		await runPrefill(pair, key);
		await pair.prefillEngine.crash();
		const during = await pair.prefill.load();
		assert.equal(during._unsafeUnwrapErr().kind, 'unreachable');
		await pair.prefillEngine.revive();
		const after = await pair.prefill.listHolds();
		assert.deepEqual(after._unsafeUnwrap(), []);
		assert.deepEqual(pair.prefillEngine.judge().wasted, {'server-lost': 1});
		assert.equal(pair.prefillEngine.judgeRequest(key.requestId).prefillsFinished, 1);
	});

	it('drops an expired KV cache with a stalled transfer as soon as the importer cancels', async () => {
		const pair = await startPair({kvTtlMs: 1000});
		const key = toKey();
		const reserved = await reserve(pair.decode, key);
		const prefilled = await runPrefill(pair, key);
		pair.prefillEngine.setFaults({transfer: {kind: 'stall', times: 1}});
		const importing = pair.decode.importKv({
			key, reservationId: reserved._unsafeUnwrap().reservationId, fromUrl: pair.prefillEngine.url, kvId: prefilled._unsafeUnwrap().kvId,
		});
		await waitUntil(() => (pair.prefillEngine.judge().holds[0]?.heldForMs ?? 0) > 1500, {deadlineMs: 10_000, what: 'the KV cache to be held for longer than its lifetime'});
		await pair.decode.cancel(key);
		expectReason(await importing, 'expired');
		await waitUntil(() => pair.prefillEngine.judge().holds.length === 0, {deadlineMs: 10_000, what: 'the KV cache to be released'});
		assert.deepEqual(pair.prefillEngine.judge().wasted, {'transfer-failed': 1});
	});

	it('runs quick prefills before batch prefills', async () => {
		// Long enough for the third prefill to arrive while the first still runs, also on a busy machine.
		const pair = await startPair({prefillBaseMs: 1000});
		const ended: string[] = [];
		const run = async (name: string, serviceClass: 'quick' | 'batch'): Promise<void> => {
			await pair.prefill.prefill({
				key: toKey(), model: 'post-summary', version: undefined, adapter: undefined, prompt: name.repeat(50), class: serviceClass, deadlineInMs: 10_000,
			});
			ended.push(name);
		};

		const first = run('running', 'batch');
		await waitUntil(() => pair.prefillEngine.judge().holds.length === 1, {deadlineMs: 5000, what: 'the first prefill to start'});
		const second = run('batch', 'batch');
		await waitUntil(() => pair.prefillEngine.judge().holds.length === 2, {deadlineMs: 5000, what: 'the second prefill to be queued'});
		await Promise.all([first, second, run('quick', 'quick')]);
		assert.deepEqual(ended, ['running', 'quick', 'batch']);
	});

	it('finds a repeated prompt in its prefix cache, and reports cache events late and with gaps', async () => {
		const pair = await startPair({cacheEventLagMs: 100, cacheEventGap: 4});
		const [cold, warm] = [await runPrefill(pair, toKey()), await runPrefill(pair, toKey())];
		assert.equal(cold._unsafeUnwrap().cachedTokens, 0);
		assert.ok(warm._unsafeUnwrap().cachedTokens > 0);
		const told = await waitUntil(async () => {
			// No part of banyanport reads these events; see note 004.
			const answer = await fetch(`${pair.prefillEngine.url}/engine/cache-events?since=1`);
			const events = await answer.json() as {next: number; events: Array<{seq: number}>};
			return events.next > 4 && events;
		}, {deadlineMs: 5000, what: 'more than four cache events'});
		assert.deepEqual(told.events.slice(0, 4).map(({seq}) => seq), [1, 2, 3, 5]);
	});

	it('accepts no new work while it is leaving, and finishes the work it has', async () => {
		const pair = await startPair();
		const key = toKey();
		const reservationId = await prepareDecode(pair, key);
		pair.decodeEngine.setState('leaving');
		expectReason(await reserve(pair.decode, toKey()), 'leaving');
		const got: string[] = [];
		const stream = await pair.decode.decode({
			key, reservationId, maxTokens, class: 'quick',
		});
		assert.equal(await readInto(got, stream._unsafeUnwrap()), undefined);
		assert.equal(got.length, maxTokens);
		await waitUntil(async () => {
			const load = await pair.decode.load();
			return load._unsafeUnwrap().state === 'leaving';
		}, {deadlineMs: 5000, what: 'the load report to show the state leaving'});
	});

	const order = (fence: number, version: string) => ({
		kind: 'load-version', model: 'post-summary', version, adapter: undefined, role: undefined, fence,
	} as const);

	for (const checksFence of [true, false]) {
		it(`${checksFence ? 'refuses' : 'takes'} an order with an old fence when it ${checksFence ? 'checks' : 'ignores'} them`, async () => {
			const pair = await startPair({checksFence, loadVersionMs: 30});
			const first = await pair.decode.order(order(5, 'v2'));
			assert.ok(first.isOk());
			const old = await pair.decode.order(order(4, 'v1'));
			assert.equal(old.isOk(), !checksFence);
			await waitUntil(async () => {
				const load = await pair.decode.load();
				const {version, state}: LoadReport = load._unsafeUnwrap();
				return state === 'serving' && version === (checksFence ? 'v2' : 'v1');
			}, {deadlineMs: 5000, what: 'the server to serve with the expected version'});
		});
	}

	it('reports its load late, with the age of the report', async () => {
		const pair = await startPair({loadLagMs: 400});
		await reserve(pair.decode, toKey());
		const early = await pair.decode.load();
		assert.equal(early._unsafeUnwrap().slotsUsed, 0);
		assert.equal(early._unsafeUnwrap().ageMs, 400);
		await waitUntil(async () => {
			const load = await pair.decode.load();
			return load._unsafeUnwrap().slotsUsed === 1;
		}, {deadlineMs: 5000, what: 'the load report to show the reservation'});
	});

	it('lists the owner of each hold', async () => {
		const pair = await startPair({kvTtlMs: 20_000});
		const key = toKey();
		await reserve(pair.decode, key);
		await runPrefill(pair, key);
		const lists = [await pair.prefill.listHolds(), await pair.decode.listHolds()];
		const holds = lists.flatMap(list => list._unsafeUnwrap());
		assert.deepEqual(holds.map(hold => [hold.kind, hold.requestId, hold.owner]), [['kv', key.requestId, owner], ['reservation', key.requestId, owner]]);
	});
});
