/** Tests of engine streams through the HTTP client: faults of a stream, and reopening it. */
import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {type EngineFailureKind} from '../../src/ports/engine.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {expectedAnswer, type EngineFaults} from '../stand-ins/engine/index.js';
import {
	maxTokens, prepareDecode, prompt, readInto, startPair, stopAll, toKey,
} from './_lib/engine-fixture.js';

after(stopAll);

type StreamRow = {fault: NonNullable<EngineFaults['stream']>; ends: EngineFailureKind | undefined; dropped?: string};

const streamCases: StreamRow[] = [
	{fault: {kind: 'short', atToken: 7}, ends: 'broken'},
	{fault: {kind: 'short', atToken: 0}, ends: 'broken'},
	{fault: {kind: 'reset', atToken: 7}, ends: 'broken'},
	{fault: {kind: 'stall', atToken: 7}, ends: 'broken'},
	{fault: {kind: 'garbage', atToken: 7}, ends: 'invalid'},
	{fault: {kind: 'oversized', atToken: 7}, ends: 'invalid'},
	{fault: {kind: 'skipped', atToken: 7}, ends: 'invalid'},
	{fault: {kind: 'duplicated', atToken: 7}, ends: undefined, dropped: 'repeated'},
	{fault: {kind: 'wrong-attempt', atToken: 7}, ends: undefined, dropped: 'crossed'},
];

describe('a stream of the engine', () => {
	for (const {fault, ends, dropped} of streamCases) {
		it(`that is ${fault.kind} at token ${fault.atToken} yields each token of the answer once, from one decode`, async () => {
			const pair = await startPair();
			const key = toKey();
			const reservationId = await prepareDecode(pair, key);
			pair.decodeEngine.setFaults({stream: {...fault, times: 1}});
			const got: string[] = [];
			const stream = await pair.decode.decode({
				key, reservationId, maxTokens, class: 'quick',
			});
			assert.equal(await readInto(got, stream._unsafeUnwrap()), ends);
			if (ends !== undefined) {
				const resumed = await pair.decode.resume(key, got.length);
				assert.equal(await readInto(got, resumed._unsafeUnwrap()), undefined);
			}

			assert.deepEqual(got, expectedAnswer(prompt, maxTokens));
			assert.equal(pair.decodeEngine.judgeRequest(key.requestId).decodesStarted, 1);
			assert.deepEqual(pair.dropped, dropped === undefined ? [] : [dropped]);
			await waitUntil(() => pair.decodeEngine.judge().holds.length === 0, {deadlineMs: 5000, what: 'the holds of the decode engine to be released'});
		});
	}

	it('keeps the tokens of two crossed streams apart', async () => {
		const pair = await startPair();
		const keys = [toKey(), toKey()];
		const reservations = [await prepareDecode(pair, keys[0]!), await prepareDecode(pair, keys[1]!)];
		pair.decodeEngine.setFaults({stream: {kind: 'crossed'}});
		const answers = await Promise.all(keys.map(async (key, index) => {
			const got: string[] = [];
			const stream = await pair.decode.decode({
				key, reservationId: reservations[index]!, maxTokens, class: 'quick',
			});
			assert.equal(await readInto(got, stream._unsafeUnwrap()), undefined);
			return got;
		}));
		assert.deepEqual(answers, [expectedAnswer(prompt, maxTokens), expectedAnswer(prompt, maxTokens)]);
		assert.ok(pair.dropped.includes('crossed'));
	});

	it('continues after the tokens that a second attempt has already', async () => {
		const pair = await startPair();
		const key = toKey(2);
		const right = expectedAnswer(prompt, maxTokens);
		const got = right.slice(0, 11);
		const reservationId = await prepareDecode(pair, key, got);
		const stream = await pair.decode.decode({
			key, reservationId, maxTokens, answerOffset: got.length, class: 'quick',
		});
		assert.equal(await readInto(got, stream._unsafeUnwrap()), undefined);
		assert.deepEqual(got, right);
		assert.equal(pair.prefillEngine.judgeRequest(key.requestId).wrongContinuations, 0);
	});

	it('continues without a reader, and is dropped once it has been read to its end', async () => {
		const pair = await startPair();
		const key = toKey();
		const reservationId = await prepareDecode(pair, key);
		const gone = new AbortController();
		const stream = await pair.decode.decode({
			key, reservationId, maxTokens, class: 'quick',
		}, {signal: gone.signal});
		gone.abort();
		assert.equal(await readInto([], stream._unsafeUnwrap()), 'aborted');
		await waitUntil(() => pair.decodeEngine.judgeRequest(key.requestId).decodesFinished === 1, {deadlineMs: 5000, what: 'the decode to finish'});
		const got: string[] = [];
		const resumed = await pair.decode.resume(key, 0);
		assert.equal(await readInto(got, resumed._unsafeUnwrap()), undefined);
		assert.deepEqual(got, expectedAnswer(prompt, maxTokens));
		await waitUntil(() => pair.decodeEngine.judge().holds.length === 0, {deadlineMs: 5000, what: 'the holds of the decode engine to be released'});
		const again = await pair.decode.resume(key, 0);
		assert.equal(again._unsafeUnwrapErr().kind, 'gone');
	});
});
