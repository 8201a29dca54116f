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
 * A caller's connection breaks and it sends the same work with the same key
 * again, or the work comes twice at once. The engines run it once, and one
 * connection gets the whole answer.
 */
describe('callers: the same key twice', () => {
	const scene = (key: string, fields: Record<string, unknown> = {}) => ({
		headers: {'x-kind': 'scene', 'idempotency-key': key}, body: toBody({stream: true, max_tokens: answerTokens, ...fields}),
	});
	const countAllDecodes = (fixture: CallerFixture) => fixture.decodes.reduce((sum, engine) =>
		sum + Object.values(engine.judge().requests).reduce((all, request) => all + request.decodesStarted, 0), 0);

	it('joins the run, takes the delivery over, and cuts the first connection', async () => withFixture({decode: slowDecode}, async fixture => {
		const key = createUuidV7();
		let hasBegun = false;
		const first = send(fixture, '/v1/completions', {
			...scene(key),
			onPiece() {
				hasBegun = true;
			},
		});
		await waitUntil(() => hasBegun, {deadlineMs: 10_000, what: 'the first tokens'});
		const second = await send(fixture, '/v1/completions', scene(key));
		const {text, wasCut} = await first;
		assert.equal(toStreamedText(second.text), wholeAnswer);
		assert.match(second.text, /\[DONE\]/v);
		// Cut, or told so by an event: never what a client could take for a whole answer.
		assert.ok(!text.includes('[DONE]'));
		assert.ok(wasCut || /event: error\ndata: .*key-used.*"outcome":"ran"/v.test(text));
		assert.equal(countAllDecodes(fixture), 1);
	}));

	it('gives the kept answer after the end', async () => withFixture({}, async fixture => {
		const key = createUuidV7();
		const answers = [await send(fixture, '/v1/completions', scene(key)), await send(fixture, '/v1/completions', scene(key))];
		assert.deepEqual(answers.map(answer => toStreamedText(answer.text)), [wholeAnswer, wholeAnswer]);
		assert.equal(countAllDecodes(fixture), 1);
	}));

	it('refuses the key with another body', async () => withFixture({}, async fixture => {
		const key = createUuidV7();
		await send(fixture, '/v1/completions', scene(key));
		const answer = await send(fixture, '/v1/completions', scene(key, {prompt: 'Other work'}));
		assert.equal(answer.status, 422);
		assert.equal(countAllDecodes(fixture), 1);
	}));

	it('releases the engines when the caller is gone and does not come back', async () => withFixture({decode: slowDecode}, async fixture => {
		const caller = sendAndLeave(fixture, '/v1/completions', scene(createUuidV7(), {max_tokens: 400}));
		await waitUntil(() => hasStream(fixture), {deadlineMs: 10_000, what: 'the run'});
		await caller.leave();
		await waitForRelease(fixture);
	}));
});
