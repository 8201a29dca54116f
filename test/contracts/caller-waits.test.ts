import assert from 'node:assert/strict';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {v7 as createUuidV7} from 'uuid';
import {expectedAnswer} from '../stand-ins/engine/index.js';
import {countDecodes, prompt, withFixture} from './_lib/caller-faults.js';
import {
	send, toBody, toStreamedText, type CallerFixture,
} from './_lib/caller-fixture.js';

const nsPerMs = 1e6;

/*
 * The load reports show free slots, but every decode server that is asked is full,
 * so the request is refused again and again. The caller must be told of the missed
 * target when the target passes, not when the backoff between two tries ends. With
 * random numbers near 1, doubling backoffs would end at 1.6 s and 3.2 s.
 */
describe('callers: every server refuses as full', () => {
	it('answers target-missed with retry-after when the first-token target passes', async () => withFixture({random: () => 0.999}, async fixture => {
		for (const decode of fixture.decodes) {
			decode.setFaults({refuse: {reason: 'full', on: ['reservations']}});
		}

		// Stalls of the event loop of this process are subtracted, as they are no wait of the entry.
		const stalls = monitorEventLoopDelay();
		stalls.enable();
		const startedAt = performance.now();
		const answer = await send(fixture, '/v1/completions', {headers: {'x-kind': 'patient'}, body: toBody({stream: true})});
		const tookMs = performance.now() - startedAt - (stalls.max / nsPerMs);
		stalls.disable();
		assert.match((JSON.parse(answer.text) as {type: string}).type, /target-missed/v);
		assert.notEqual(answer.headers['retry-after'], undefined);
		assert.ok(tookMs < 2900, `answered after ${Math.round(tookMs)} ms, with a first-token target of 2,000 ms`);
	}));
});

/*
 * A transfer stalls without an error. A request that waited for the transfer would
 * wait until its reservation expires. The entry must give the transfer up after a
 * time derived from earlier transfers over the link, and prefill again, so that the
 * caller gets one complete answer.
 */
describe('callers: a transfer stalls', () => {
	const ask = async (fixture: CallerFixture, kind = 'patient') => send(fixture, '/v1/completions', {
		headers: {'x-kind': kind, 'idempotency-key': createUuidV7()}, body: toBody({stream: true, max_tokens: 5}),
	});
	const toStages = (fixture: CallerFixture, answer: Awaited<ReturnType<typeof send>>) =>
		fixture.entry.accounts.findAccount(String(answer.headers['x-request-id']))!.stages.map(({stage}) => stage);

	it('gives up the transfer and prefills again if the work is repeatable', async () => withFixture({}, async fixture => {
		for (let i = 0; i < 6; i++) {
			await ask(fixture);
		}

		fixture.prefill.setFaults({transfer: {kind: 'stall', times: 1}});
		const answer = await ask(fixture);
		assert.equal(toStreamedText(answer.text), expectedAnswer(prompt, 5).join(''));
		assert.ok(toStages(fixture, answer).includes('transfer given up'));
		assert.equal(countDecodes(fixture, String(answer.headers['x-request-id'])), 1);
	}));

	it('waits for the transfer if the work may run only once', async () => withFixture({}, async fixture => {
		for (let i = 0; i < 6; i++) {
			await ask(fixture, 'scene');
		}

		fixture.prefill.setFaults({transfer: {kind: 'stall', times: 1}});
		const answer = await ask(fixture, 'scene');
		const stages = toStages(fixture, answer);
		assert.ok(stages.includes('prefilled') && !stages.includes('transfer given up'), stages.join(', '));
	}));
});
