import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {v7 as createUuidV7} from 'uuid';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	send, sendAndLeave, toBody, toStreamedText, type CallerFixture,
} from './_lib/caller-fixture.js';
import {
	hasStream, slowDecode, answerTokens, waitForRelease, wholeAnswer, withFixture,
} from './_lib/caller-faults.js';

/*
 * A caller sends the same work with the same key again after its connection broke,
 * or sends it twice at the same time. The engines must run the work once, and one
 * connection must get the complete answer.
 */
describe('callers: two requests with the same key', () => {
	const scene = (key: string, fields: Record<string, unknown> = {}) => ({
		headers: {'x-kind': 'scene', 'idempotency-key': key}, body: toBody({stream: true, max_tokens: answerTokens, ...fields}),
	});
	const countAllDecodes = (fixture: CallerFixture) => fixture.decodes.reduce((sum, engine) =>
		sum + Object.values(engine.judge().requests).reduce((all, request) => all + request.decodesStarted, 0), 0);

	it('joins the run in progress, takes over the stream, and cuts the first connection', async () => withFixture({decode: slowDecode}, async fixture => {
		const key = createUuidV7();
		let hasBegun = false;
		const first = send(fixture, '/v1/completions', {
			...scene(key),
			onPiece() {
				hasBegun = true;
			},
		});
		await waitUntil(() => hasBegun, {deadlineMs: 10_000, what: 'the first tokens of the first request'});
		const second = await send(fixture, '/v1/completions', scene(key));
		const {text, wasCut} = await first;
		assert.equal(toStreamedText(second.text), wholeAnswer);
		assert.match(second.text, /\[DONE\]/v);
		// The first answer is cut or ends with an error event, so that no client can take it for a complete answer.
		assert.ok(!text.includes('[DONE]'));
		assert.ok(wasCut || /event: error\ndata: .*key-used.*"outcome":"ran"/v.test(text));
		assert.equal(countAllDecodes(fixture), 1);
	}));

	it('returns the kept answer after the run has ended', async () => withFixture({}, async fixture => {
		const key = createUuidV7();
		const answers = [await send(fixture, '/v1/completions', scene(key)), await send(fixture, '/v1/completions', scene(key))];
		assert.deepEqual(answers.map(answer => toStreamedText(answer.text)), [wholeAnswer, wholeAnswer]);
		assert.equal(countAllDecodes(fixture), 1);
	}));

	it('refuses the same key with another body', async () => withFixture({}, async fixture => {
		const key = createUuidV7();
		await send(fixture, '/v1/completions', scene(key));
		const answer = await send(fixture, '/v1/completions', scene(key, {prompt: 'Other work'}));
		assert.equal(answer.status, 422);
		assert.equal(countAllDecodes(fixture), 1);
	}));

	it('releases the holds on the engines when the caller disconnects and does not return', async () => withFixture({decode: slowDecode}, async fixture => {
		const caller = sendAndLeave(fixture, '/v1/completions', scene(createUuidV7(), {max_tokens: 400}));
		await waitUntil(() => hasStream(fixture), {deadlineMs: 10_000, what: 'a decode server with an open stream'});
		await caller.leave();
		await waitForRelease(fixture);
	}));
});
