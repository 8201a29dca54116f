import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {v7 as createUuidV7} from 'uuid';
import {expectedAnswer, type EngineFaults, type EngineStandIn} from '../stand-ins/engine/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	send, sendAndLeave, startCallerFixture, toBody, toStreamedText, type CallerFixture, type CallerFixtureOptions,
} from './_lib/caller-fixture.js';

const prompt = 'Dear sir, your letter of May';
const tokens = 60;
const whole = expectedAnswer(prompt, tokens).join('');
const slowDecode = {decodeTokensPerSecond: 100};

async function withFixture(options: CallerFixtureOptions, use: (fixture: CallerFixture) => Promise<void>): Promise<void> {
	const fixture = await startCallerFixture(options);
	try {
		await use(fixture);
	} finally {
		await fixture.stop();
	}
}

const listEngines = (fixture: CallerFixture): EngineStandIn[] => [fixture.prefill, ...fixture.decodes];
const holdsStream = (engine: EngineStandIn): boolean => engine.judge().holds.some(hold => hold.kind === 'stream');
const hasStream = (fixture: CallerFixture): boolean => fixture.decodes.some(engine => holdsStream(engine));
const countHolds = (fixture: CallerFixture): number => listEngines(fixture).reduce((sum, engine) => sum + engine.judge().holds.length, 0);

async function waitForRelease(fixture: CallerFixture): Promise<void> {
	await waitUntil(() => countHolds(fixture) === 0, {deadlineMs: 10_000, what: 'all engine memory to be released'});
}

function countDecodes(fixture: CallerFixture, requestId: string): number {
	return fixture.decodes.reduce((sum, engine) => sum + engine.judgeRequest(requestId).decodesStarted, 0);
}

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

			const answer = await send(fixture, '/v1/completions', {body: toBody({stream: true, max_tokens: tokens})});
			assert.equal(toStreamedText(answer.text), whole);
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
		const pending = send(fixture, '/v1/completions', {headers, body: toBody({stream, max_tokens: tokens})});
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
			assert.equal(text, whole);
		}));
	}

	it('ends a stream of other work by an error event and without the end mark', async () => withFixture({decode: slowDecode}, async fixture => {
		const answer = await killAtTenth(fixture, {'x-kind': 'scene', 'idempotency-key': createUuidV7()}, true);
		assert.ok(whole.startsWith(toStreamedText(answer.text.split('event: error')[0]!)));
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

/*
 * A caller's connection breaks and it sends the same work with the same key
 * again, or the work comes twice at once. The engines run it once, and one
 * connection gets the whole answer.
 */
describe('callers: the same key twice', () => {
	const scene = (key: string, fields: Record<string, unknown> = {}) => ({
		headers: {'x-kind': 'scene', 'idempotency-key': key}, body: toBody({stream: true, max_tokens: tokens, ...fields}),
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
		assert.equal(toStreamedText(second.text), whole);
		assert.match(second.text, /\[DONE\]/v);
		// Cut, or told so by an event: never what a client could take for a whole answer.
		assert.ok(!text.includes('[DONE]'));
		assert.ok(wasCut || /event: error\ndata: .*key-used.*"outcome":"ran"/v.test(text));
		assert.equal(countAllDecodes(fixture), 1);
	}));

	it('gives the kept answer after the end', async () => withFixture({}, async fixture => {
		const key = createUuidV7();
		const answers = [await send(fixture, '/v1/completions', scene(key)), await send(fixture, '/v1/completions', scene(key))];
		assert.deepEqual(answers.map(answer => toStreamedText(answer.text)), [whole, whole]);
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

describe('callers: plain services', () => {
	const key = () => ({'idempotency-key': createUuidV7()});

	it('sends work that may not be repeated once, and says that its fate is unknown', async () => withFixture({}, async fixture => {
		fixture.plain.setFaults({drop: 'after'});
		const headers = key();
		const answer = await send(fixture, '/orders/1', {headers, body: '{"n":1}'});
		assert.equal((JSON.parse(answer.text) as {outcome: string}).outcome, 'may-have-run');
		assert.equal(fixture.plain.countWork(headers['idempotency-key']), 1);
		assert.equal(fixture.plain.calls().length, 1);
	}));

	it('cuts the connection of an answer that broke midway', async () => withFixture({}, async fixture => {
		fixture.plain.setFaults({drop: 'midway'});
		const answer = await send(fixture, '/desk/a', {body: 'x'.repeat(1000)});
		assert.equal(answer.wasCut, true);
	}));

	/*
	 * The caller sees an answer in time for the whole of it, yet long after its
	 * first-token target. A pool with more work than room keeps each call until
	 * the later of the two: all wait, all begin late, and none of the answers
	 * counts, although the services never stand still.
	 */
	it('refuses a call once it cannot begin within the first-token target, and does not send it', async () => withFixture({}, async fixture => {
		fixture.plain.setFaults({workMs: 4000});
		const first = Array.from({length: 20}, async () => send(fixture, '/desk/a', {body: '{}'}));
		await waitUntil(() => fixture.plain.calls().length === 20, {deadlineMs: 10_000, what: 'calls in every place'});
		const answer = await send(fixture, '/desk/b', {body: '{}'});
		assert.equal(answer.status, 503);
		assert.equal(answer.headers['retry-after'] === undefined, false);
		await Promise.all(first);
		assert.equal(fixture.plain.calls().length, 20);
	}));

	/*
	 * A lookup is offered to a service that breaks after it has the call; no other
	 * service can be reached, or none is left. The caller must not hear "not run"
	 * of the last pick alone: the first service did the work, and work that is sent
	 * again on that word is done twice.
	 */
	const brokenLookups = [
		{name: 'no other service is left', plains: 1, stopped: 0},
		{name: 'the other service cannot be reached', plains: 2, stopped: 1},
		{name: 'every service breaks', plains: 3, stopped: 0},
		{name: 'no service can be reached', plains: 2, stopped: 2},
	];
	for (const {name, plains, stopped} of brokenLookups) {
		it(`says "not run" of a lookup only if no service had it: ${name}`, async () => withFixture({plains}, async fixture => {
			for (const plain of fixture.plains) {
				plain.setFaults({drop: 'after'});
			}

			await Promise.all(fixture.plains.slice(plains - stopped).map(async plain => plain.stop()));
			const answer = await send(fixture, '/desk/a', {body: '{}'});
			const calls = fixture.plains.reduce((sum, plain) => sum + plain.calls().length, 0);
			assert.equal((JSON.parse(answer.text) as {outcome: string}).outcome, calls > 0 ? 'may-have-run' : 'not-run', `${calls} calls: ${answer.text}`);
			assert.ok(calls > 0 || stopped === plains, 'no service was asked');
		}));
	}

	it('asks the only service again when it broke once', async () => withFixture({}, async fixture => {
		fixture.plain.setFaults({drop: 'before', times: 1});
		const answer = await send(fixture, '/desk/a', {body: '{}'});
		assert.equal(answer.status, 200);
		assert.equal(answer.text, '{}');
	}));

	it('passes a service\'s own refusal on', async () => withFixture({}, async fixture => {
		fixture.plain.setFaults({status: 503});
		const {status} = await send(fixture, '/desk/a', {body: '{}'});
		assert.equal(status, 503);
	}));

	it('ends the call when the caller is gone', async () => withFixture({}, async fixture => {
		fixture.plain.setFaults({workMs: 5000});
		const caller = sendAndLeave(fixture, '/desk/a', {body: '{}'});
		await waitUntil(() => fixture.plain.calls().length === 1, {deadlineMs: 10_000, what: 'the call'});
		await caller.leave();
		await waitUntil(() => fixture.plain.calls()[0]!.wasAborted, {deadlineMs: 10_000, what: 'the call to end'});
	}));

	it('says that nothing ran when no service can be reached', async () => withFixture({}, async fixture => {
		await fixture.plain.stop();
		const answer = await send(fixture, '/orders/1', {headers: key(), body: '{}'});
		assert.equal((JSON.parse(answer.text) as {outcome: string}).outcome, 'not-run');
	}));
});

describe('callers: a planned stop', () => {
	it('finishes streams in progress and what waits, and says that the connection closes', async () => {
		const fixture = await startCallerFixture({decode: {slots: 1, ...slowDecode}});
		const pending = [1, 2, 3].map(async () => send(fixture, '/v1/completions', {body: toBody({stream: true, max_tokens: tokens})}));
		await waitUntil(() => fixture.logs().filter(line => line.message === 'request received').length === 3, {deadlineMs: 10_000, what: 'three requests'});
		await fixture.stop();
		for (const answer of await Promise.all(pending)) {
			assert.equal(toStreamedText(answer.text), whole);
		}
	});
});
