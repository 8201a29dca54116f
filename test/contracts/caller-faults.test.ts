import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {v7 as createUuidV7} from 'uuid';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type EngineFaults} from '../stand-ins/engine/index.js';
import {
	send, sendAndLeave, startCallerFixture, toBody, toStreamedText, type CallerFixture, type CallerFixtureOptions,
} from './_lib/caller-fixture.js';
import {
	countDecodes, hasStream, holdsStream, listEngines, slowDecode, answerTokens, waitForRelease, wholeAnswer, withFixture,
} from './_lib/caller-faults.js';

/*
 * A decode engine's stream goes wrong after ten tokens. The entry reads it again
 * from the token it is at; the caller sees one whole answer and never a stranger's
 * token, and the engine ran it once.
 */
describe('callers: an engine\'s stream goes wrong', () => {
	for (const kind of ['short', 'reset', 'garbage', 'oversized', 'crossed', 'duplicated', 'skipped', 'wrong-attempt'] as const) {
		it(`gives the whole answer after a stream that is ${kind}`, async () => withFixture({}, async fixture => {
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
 * The decode server dies with half of the answer relayed. Work that may be
 * repeated goes on elsewhere behind the tokens that the caller has; other work
 * ends with a word that says so, and is never run again.
 */
describe('callers: the decode server dies midway', () => {
	async function killAtTenth(fixture: CallerFixture, headers: Record<string, string>, stream: boolean) {
		const pending = send(fixture, '/v1/completions', {headers, body: toBody({stream, max_tokens: answerTokens})});
		const victim = await waitUntil(() => fixture.decodes.find(engine => holdsStream(engine)), {deadlineMs: 10_000, what: 'a stream'});
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
		await victim.stop();
		return pending;
	}

	for (const stream of [true, false]) {
		it(`continues repeatable work elsewhere (${stream ? 'streamed' : 'JSON'})`, async () => withFixture({decode: slowDecode}, async fixture => {
			const answer = await killAtTenth(fixture, {}, stream);
			const text = stream ? toStreamedText(answer.text) : (JSON.parse(answer.text) as {choices: Array<{text: string}>}).choices[0]!.text;
			assert.equal(text, wholeAnswer);
		}));
	}

	it('ends a stream of other work by an error event and without the end mark', async () => withFixture({decode: slowDecode}, async fixture => {
		const answer = await killAtTenth(fixture, {'x-kind': 'scene', 'idempotency-key': createUuidV7()}, true);
		assert.ok(wholeAnswer.startsWith(toStreamedText(answer.text.split('event: error')[0]!)));
		assert.match(answer.text, /event: error\ndata: \{.*"outcome":"ran".*\}\n\n$/v);
		assert.ok(!answer.text.includes('[DONE]'));
		assert.equal(countDecodes(fixture, String(answer.headers['x-request-id'])), 1);
	}));

	it('answers other work in JSON with a problem', async () => withFixture({decode: slowDecode}, async fixture => {
		const answer = await killAtTenth(fixture, {'x-kind': 'scene', 'idempotency-key': createUuidV7()}, false);
		assert.equal(answer.status, 502);
		assert.equal((JSON.parse(answer.text) as {outcome: string}).outcome, 'ran');
	}));
});

/*
 * The caller goes away at some point. Every engine that was touched lets go
 * within seconds, also when the first cancel is lost on its way.
 */
describe('callers: the caller is gone', () => {
	const slowPrefill = {prefillBaseMs: 3000};
	const cases: ReadonlyArray<[string, CallerFixtureOptions, EngineFaults, (fixture: CallerFixture) => boolean]> = [
		['in prefill', {prefill: slowPrefill}, {}, fixture => fixture.prefill.judge().holds.some(hold => hold.kind === 'prefill')],
		['in transfer', {}, {transfer: {kind: 'stall'}}, fixture => (fixture.prefill.judge().calls['GET engine/kv'] ?? 0) > 0],
		['between tokens', {decode: slowDecode}, {}, hasStream],
		['between tokens, and the cancel is lost', {decode: slowDecode}, {loseCancels: {times: 2}}, hasStream],
	];
	for (const [name, options, faults, hasBegun] of cases) {
		it(`releases all engine memory ${name}`, async () => withFixture(options, async fixture => {
			for (const engine of listEngines(fixture)) {
				engine.setFaults(faults);
			}

			const caller = sendAndLeave(fixture, '/v1/completions', {body: toBody({stream: true, max_tokens: 400})});
			await waitUntil(() => hasBegun(fixture), {deadlineMs: 10_000, what: 'the request to get there'});
			await caller.leave();
			await waitForRelease(fixture);
		}));
	}

	it('forgets a request that waits, and never offers it to an engine', async () => withFixture({decode: {slots: 1, ...slowDecode}}, async fixture => {
		const busy = [1, 2].map(async () => send(fixture, '/v1/completions', {body: toBody({stream: true, max_tokens: 100})}));
		await waitUntil(() => fixture.decodes.every(engine => holdsStream(engine)), {deadlineMs: 10_000, what: 'all places to be taken'});
		const caller = sendAndLeave(fixture, '/v1/completions', {body: toBody({max_tokens: 10})});
		await waitUntil(() => fixture.logs().filter(line => line.message === 'request received').length === 3, {deadlineMs: 10_000, what: 'the third request'});
		await caller.leave();
		const ended = await waitUntil(() => fixture.logs().find(line => line.reason === 'caller-gone'), {deadlineMs: 10_000, what: 'its end'});
		assert.equal(ended.outcome, 'not-run');
		for (const answer of await Promise.all(busy)) {
			assert.match(answer.text, /\[DONE\]/v);
		}

		assert.equal(fixture.prefill.judgeRequest(String(ended.requestId)).prefillsStarted, 0);
	}));
});

/*
 * A step fails before the answer begins. The word in the problem document is
 * compared with what the engines counted: "not run" must be true.
 */
describe('callers: what a refusal says is true', () => {
	const scene = () => ({'x-kind': 'scene', 'idempotency-key': createUuidV7()});
	const cases: ReadonlyArray<[string, EngineFaults, EngineFaults, string]> = [
		['all decode servers are leaving', {}, {refuse: {reason: 'leaving', on: ['reservations']}}, 'not-run'],
		['the prefill server refuses', {refuse: {reason: 'wrong-model', on: ['prefills']}}, {}, 'not-run'],
		['the prefill\'s answer is lost', {loseAnswers: {on: ['prefills']}}, {}, 'may-have-run'],
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

	it('repeats lost work that may be repeated', async () => withFixture({}, async fixture => {
		fixture.prefill.setFaults({loseAnswers: {on: ['prefills'], times: 1}});
		const answer = await send(fixture, '/v1/completions', {body: toBody()});
		// There is one prefill server, and a second attempt takes another one each time.
		assert.equal(answer.status === 200 || (JSON.parse(answer.text) as {outcome: string}).outcome === 'may-have-run', true);
	}));

	it('answers at the deadline and not later than it can', async () => withFixture({prefill: {prefillBaseMs: 30_000}}, async fixture => {
		const answer = await send(fixture, '/v1/completions', {headers: {'x-kind': 'hurried'}, body: toBody()});
		const problem = JSON.parse(answer.text) as {outcome: string; type: string};
		assert.ok(['urn:banyanport:problem:deadline-passed', 'urn:banyanport:problem:target-missed'].includes(problem.type));
		await waitForRelease(fixture);
	}));
});

describe('callers: a planned stop', () => {
	it('finishes streams in progress and what waits, and says that the connection closes', async () => {
		const fixture = await startCallerFixture({decode: {slots: 1, ...slowDecode}});
		const pending = [1, 2, 3].map(async () => send(fixture, '/v1/completions', {body: toBody({stream: true, max_tokens: answerTokens})}));
		await waitUntil(() => fixture.logs().filter(line => line.message === 'request received').length === 3, {deadlineMs: 10_000, what: 'three requests'});
		await fixture.stop();
		for (const answer of await Promise.all(pending)) {
			assert.equal(toStreamedText(answer.text), wholeAnswer);
		}
	});
});
