/** Tests of cancels in the engine interface at each stage of an attempt. */
import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {type AttemptKey} from '../../src/ports/engine.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	maxTokens, prepareDecode, reserve, runPrefill, startPair, stopAll, toKey, type Pair,
} from './_lib/engine-fixture.js';

after(stopAll);

type CancelRow = {
	name: string;
	/** Brings the attempt to the stage that `name` describes. */
	reach: (pair: Pair, key: AttemptKey) => Promise<unknown>;
	waste: string | undefined;
	started: {prefills: number; decodes: number};
};

const cancelRows: CancelRow[] = [
	{
		name: 'before any call', reach: async () => undefined, waste: undefined, started: {prefills: 0, decodes: 0},
	},
	{
		name: 'with a reservation', reach: async (pair, key) => reserve(pair.decode, key), waste: undefined, started: {prefills: 0, decodes: 0},
	},
	{
		name: 'in the queue',
		async reach(pair, key) {
			void runPrefill(pair, toKey());
			void runPrefill(pair, key);
			await waitUntil(() => pair.prefillEngine.judge().holds.some(hold => hold.requestId === key.requestId && hold.kind === 'queued'), {deadlineMs: 5000, what: 'the prefill to be queued'});
		},
		waste: undefined,
		started: {prefills: 0, decodes: 0},
	},
	{
		name: 'in prefill',
		async reach(pair, key) {
			void runPrefill(pair, key);
			await waitUntil(() => pair.prefillEngine.judge().holds.some(hold => hold.kind === 'prefill'), {deadlineMs: 5000, what: 'the prefill to start'});
		},
		waste: 'cancelled-in-prefill',
		started: {prefills: 1, decodes: 0},
	},
	{
		name: 'after prefill', reach: runPrefill, waste: 'cancelled-before-transfer', started: {prefills: 1, decodes: 0},
	},
	{
		name: 'before decode', reach: prepareDecode, waste: 'cancelled-before-decode', started: {prefills: 1, decodes: 0},
	},
	{
		name: 'in decode',
		async reach(pair, key) {
			const reservationId = await prepareDecode(pair, key);
			return pair.decode.decode({
				key, reservationId, maxTokens: 10_000, class: 'batch',
			});
		},
		waste: undefined,
		started: {prefills: 1, decodes: 1},
	},
];

describe('a cancel', () => {
	for (const row of cancelRows) {
		it(`${row.name} releases all holds and refuses later calls of the attempt`, async () => {
			// Slow enough that the test can observe the queued and the running prefill.
			const pair = await startPair({prefillBaseMs: 300, kvTtlMs: 20_000});
			const key = toKey();
			await row.reach(pair, key);
			const cancels = [await pair.prefill.cancel(key), await pair.decode.cancel(key)];
			assert.ok(cancels.every(cancel => cancel.isOk()));
			for (const engine of [pair.prefillEngine, pair.decodeEngine]) {
				assert.deepEqual(engine.judge().holds.filter(hold => hold.requestId === key.requestId), []);
			}

			assert.equal(pair.prefillEngine.judgeRequest(key.requestId).prefillsStarted, row.started.prefills);
			assert.equal(pair.decodeEngine.judgeRequest(key.requestId).decodesStarted, row.started.decodes);
			const wasted = [...pair.prefillEngine.judge().wastedRequests, ...pair.decodeEngine.judge().wastedRequests];
			assert.deepEqual(wasted.filter(({requestId}) => requestId === key.requestId).map(({cause}) => cause), row.waste === undefined ? [] : [row.waste]);
			const late = [await runPrefill(pair, key), await reserve(pair.decode, key)];
			assert.deepEqual(late.map(result => result._unsafeUnwrapErr().reason), ['duplicate', 'duplicate']);
		});
	}

	it('that is lost has no effect and is reported as broken', async () => {
		const pair = await startPair();
		const key = toKey();
		await reserve(pair.decode, key);
		pair.decodeEngine.setFaults({loseCancels: {times: 1}});
		const lost = await pair.decode.cancel(key);
		assert.equal(lost._unsafeUnwrapErr().kind, 'broken');
		assert.equal(pair.decodeEngine.judge().holds.length, 1);
		const second = await pair.decode.cancel(key);
		assert.ok(second.isOk());
		assert.equal(pair.decodeEngine.judge().holds.length, 0);
	});
});
