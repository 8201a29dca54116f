import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {v7 as createUuidV7} from 'uuid';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type EngineFaults} from '../stand-ins/engine/index.js';
import {
	send, sendAndLeave, startCallerFixture, toBody, toStreamedText, type CallerFixture, type CallerFixtureOptions,
} from './_lib/caller-fixture.js';
import {
	answerTokens, countDecodes, hasStream, holdsStream, listEngines, slowDecode, waitForRelease, wholeAnswer, withFixture,
} from './_lib/caller-faults.js';

/*
 * The stream of a decode engine fails after ten tokens. The entry must reopen the
 * stream at the next token: the caller gets one complete answer without a token of
 * another request, and the engine runs the decode only once.
 */
describe('callers: the stream of an engine fails', () => {
	for (const kind of ['short', 'reset', 'garbage', 'oversized', 'crossed', 'duplicated', 'skipped', 'wrong-attempt'] as const) {
		it(`returns the complete answer after a stream that is ${kind}`, async () => withFixture({}, async fixture => {
			for (const decode of fixture.decodes) {
				decode.setFaults({stream: {kind, atToken: 10, times: 1}});
			}

			const answer = await send(fixture, '/v1/completions', {body: toBody({stream: true, max_tokens: answerTokens})});
			assert.equal(toStreamedText(answer.text), wholeAnswer);
			assert.match(answer.text, /data: \[DONE\]\n\n$/v);
			assert.equal(countDecodes(fixture, String(answer.headers['x-request-id'])), 1);
		}));
	}
});

/*
 * The decode server dies when half of the answer has been relayed. Repeatable work
 * must continue on another server after the tokens that the caller already has.
 * Other work must end with an error that says that it ran, and must not run again.
 */
describe('callers: the decode server dies during the answer', () => {
	async function killAtTenth(fixture: CallerFixture, headers: Record<string, string>, stream: boolean) {
		const pending = send(fixture, '/v1/completions', {headers, body: toBody({stream, max_tokens: answerTokens})});
		const victim = await waitUntil(() => fixture.decodes.find(engine => holdsStream(engine)), {deadlineMs: 10_000, what: 'a decode server with an open stream'});
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
		await victim.stop();
		return pending;
	}

	for (const stream of [true, false]) {
		it(`continues repeatable work on another server (${stream ? 'streamed' : 'JSON'})`, async () => withFixture({decode: slowDecode}, async fixture => {
			const answer = await killAtTenth(fixture, {}, stream);
			const text = stream ? toStreamedText(answer.text) : (JSON.parse(answer.text) as {choices: Array<{text: string}>}).choices[0]!.text;
			assert.equal(text, wholeAnswer);
		}));
	}

	it('ends a stream of non-repeatable work with an error event and without the end mark', async () => withFixture({decode: slowDecode}, async fixture => {
		const answer = await killAtTenth(fixture, {'x-kind': 'scene', 'idempotency-key': createUuidV7()}, true);
		assert.ok(wholeAnswer.startsWith(toStreamedText(answer.text.split('event: error')[0]!)));
		assert.match(answer.text, /event: error\ndata: \{.*"outcome":"ran".*\}\n\n$/v);
		assert.ok(!answer.text.includes('[DONE]'));
		assert.equal(countDecodes(fixture, String(answer.headers['x-request-id'])), 1);
	}));

	it('answers non-repeatable work in JSON with a problem document', async () => withFixture({decode: slowDecode}, async fixture => {
		const answer = await killAtTenth(fixture, {'x-kind': 'scene', 'idempotency-key': createUuidV7()}, false);
		assert.equal(answer.status, 502);
		assert.equal((JSON.parse(answer.text) as {outcome: string}).outcome, 'ran');
	}));
});

/*
 * The caller disconnects at some stage of its request. Every engine that took part
 * must release its holds within the deadline, also if the first cancels are lost.
 */
describe('callers: the caller disconnects', () => {
	const slowPrefill = {prefillBaseMs: 3000};
	const cases: ReadonlyArray<[string, CallerFixtureOptions, EngineFaults, (fixture: CallerFixture) => boolean]> = [
		['in prefill', {prefill: slowPrefill}, {}, fixture => fixture.prefill.judge().holds.some(hold => hold.kind === 'prefill')],
		['in transfer', {}, {transfer: {kind: 'stall'}}, fixture => (fixture.prefill.judge().calls['GET engine/kv'] ?? 0) > 0],
		['between tokens', {decode: slowDecode}, {}, hasStream],
		['between tokens, and the cancel is lost', {decode: slowDecode}, {loseCancels: {times: 2}}, hasStream],
	];
	for (const [name, options, faults, hasBegun] of cases) {
		it(`releases all holds on the engines ${name}`, async () => withFixture(options, async fixture => {
			for (const engine of listEngines(fixture)) {
				engine.setFaults(faults);
			}

			const caller = sendAndLeave(fixture, '/v1/completions', {body: toBody({stream: true, max_tokens: 400})});
			await waitUntil(() => hasBegun(fixture), {deadlineMs: 10_000, what: `the request to reach the stage "${name}"`});
			await caller.leave();
			await waitForRelease(fixture);
		}));
	}

	it('drops a queued request without offering it to an engine', async () => withFixture({decode: {slots: 1, ...slowDecode}}, async fixture => {
		const busy = [1, 2].map(async () => send(fixture, '/v1/completions', {body: toBody({stream: true, max_tokens: 100})}));
		await waitUntil(() => fixture.decodes.every(engine => holdsStream(engine)), {deadlineMs: 10_000, what: 'both decode slots to be taken'});
		const caller = sendAndLeave(fixture, '/v1/completions', {body: toBody({max_tokens: 10})});
		await waitUntil(() => fixture.logs().filter(line => line.message === 'request received').length === 3, {deadlineMs: 10_000, what: 'the third request to be received'});
		await caller.leave();
		const ended = await waitUntil(() => fixture.logs().find(line => line.reason === 'caller-gone'), {deadlineMs: 10_000, what: 'the log line that ends the third request with reason caller-gone'});
		assert.equal(ended.outcome, 'not-run');
		for (const answer of await Promise.all(busy)) {
			assert.match(answer.text, /\[DONE\]/v);
		}

		assert.equal(fixture.prefill.judgeRequest(String(ended.requestId)).prefillsStarted, 0);
	}));
});

/*
 * A step fails before the answer begins. The test compares the `outcome` of the
 * problem document with the counts of the engines: `not-run` must be true.
 */
describe('callers: the outcome in a problem document is true', () => {
	const scene = () => ({'x-kind': 'scene', 'idempotency-key': createUuidV7()});
	const cases: ReadonlyArray<[string, EngineFaults, EngineFaults, string]> = [
		['all decode servers are leaving', {}, {refuse: {reason: 'leaving', on: ['reservations']}}, 'not-run'],
		['the prefill server refuses', {refuse: {reason: 'wrong-model', on: ['prefills']}}, {}, 'not-run'],
		['the answer to the prefill is lost', {loseAnswers: {on: ['prefills']}}, {}, 'may-have-run'],
		['the transfer breaks', {transfer: {kind: 'reset'}}, {}, 'may-have-run'],
		['the stream is refused', {}, {refuse: {reason: 'other', on: ['streams']}}, 'may-have-run'],
	];
	for (const [name, prefillFaults, decodeFaults, outcome] of cases) {
		it(`says ${outcome} when ${name}`, async () => withFixture({}, async fixture => {
			fixture.prefill.setFaults(prefillFaults);
			for (const decode of fixture.decodes) {
				decode.setFaults(decodeFaults);
			}

			const answer = await send(fixture, '/v1/completions', {headers: scene(), body: toBody()});
			const problem = JSON.parse(answer.text) as {outcome: string; requestId: string};
			const judged = fixture.prefill.judgeRequest(problem.requestId);
			assert.equal(problem.outcome, outcome);
			assert.equal(judged.prefillsStarted > 0, outcome !== 'not-run');
			assert.ok(judged.prefillsStarted <= 1);
			await waitForRelease(fixture);
		}));
	}

	it('repeats repeatable work whose prefill answer was lost', async () => withFixture({}, async fixture => {
		fixture.prefill.setFaults({loseAnswers: {on: ['prefills'], times: 1}});
		const answer = await send(fixture, '/v1/completions', {body: toBody()});
		// There is only one prefill server, and a second attempt takes a different one, so either outcome is allowed.
		assert.equal(answer.status === 200 || (JSON.parse(answer.text) as {outcome: string}).outcome === 'may-have-run', true);
	}));

	it('answers with a problem when the deadline passes or cannot be met', async () => withFixture({prefill: {prefillBaseMs: 30_000}}, async fixture => {
		const answer = await send(fixture, '/v1/completions', {headers: {'x-kind': 'hurried'}, body: toBody()});
		const problem = JSON.parse(answer.text) as {outcome: string; type: string};
		assert.ok(['urn:banyanport:problem:deadline-passed', 'urn:banyanport:problem:target-missed'].includes(problem.type));
		await waitForRelease(fixture);
	}));
});

describe('callers: a planned stop', () => {
	it('finishes open streams and queued requests', async () => {
		const fixture = await startCallerFixture({decode: {slots: 1, ...slowDecode}});
		const pending = [1, 2, 3].map(async () => send(fixture, '/v1/completions', {body: toBody({stream: true, max_tokens: answerTokens})}));
		await waitUntil(() => fixture.logs().filter(line => line.message === 'request received').length === 3, {deadlineMs: 10_000, what: 'three requests to be received'});
		await fixture.stop();
		for (const answer of await Promise.all(pending)) {
			assert.equal(toStreamedText(answer.text), wholeAnswer);
		}
	});
});
