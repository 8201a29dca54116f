import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {connect} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {v7 as createKey} from 'uuid';
import {type SloDocument} from '../../src/_lib/slo/index.js';
import {expectedAnswer} from '../stand-ins/engine/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	send, startCallerFixture, toBody, toStreamedText, type CallerFixture, type SendOptions,
} from './_lib/caller-fixture.js';

type Problem = {type: string; outcome: string; requestId: string; detail: string};

const prompt = 'Dear sir, your letter of May';
const wholeAnswer = expectedAnswer(prompt, 20).join('');

let fixture: CallerFixture;

const countPrefills = () => fixture.prefill.judge().calls['POST engine/prefills'];
const sendHere = async (path: string, options: SendOptions) => send(fixture, path, options);

before(async () => {
	fixture = await startCallerFixture({
		settings: {
			maxHeaderBytes: 2048, maxBodyBytes: 20_000, maxPromptTokens: 1000, maxOutputTokens: 500, bodyTimeout: 300, headerTimeout: 1000,
		},
	});
});

after(async () => {
	await fixture.stop();
});

async function assertRefused(path: string, options: SendOptions, status: number, kind: string): Promise<void> {
	const started = fixture.prefill.judge().calls['POST engine/prefills'];
	const answer = await send(fixture, path, options);
	const problem = JSON.parse(answer.text) as Problem;
	assert.equal(answer.status, status);
	assert.equal(answer.headers['content-type'], 'application/problem+json');
	assert.equal(problem.type, `urn:banyanport:problem:${kind}`);
	assert.equal(problem.outcome, 'not-run');
	assert.equal(problem.requestId, answer.headers['x-request-id']);
	assert.equal(fixture.prefill.judge().calls['POST engine/prefills'], started);
}

/** Sends raw bytes and reads until the entry closes the connection. */
async function sendRaw(text: string): Promise<string> {
	return new Promise((resolve, reject) => {
		let received = '';
		const socket = connect(fixture.port, '127.0.0.1', () => socket.write(text));
		socket.setTimeout(10_000, () => {
			reject(new Error(`the entry did not close the connection within 10 s; received: ${received}`));
			socket.destroy();
		});
		socket.on('data', piece => {
			received += piece.toString();
		});
		socket.once('error', () => undefined);
		socket.once('close', () => {
			resolve(received);
		});
	});
}

describe('callers: answers', () => {
	it('returns a completion as JSON with usage', async () => {
		const answer = await send(fixture, '/v1/completions', {body: toBody()});
		assert.equal(answer.status, 200);
		const body = JSON.parse(answer.text) as {choices: unknown[]; usage: Record<string, unknown>};
		assert.deepEqual(body.choices, [{
			index: 0, text: wholeAnswer, logprobs: null, finish_reason: 'length',
		}]);
		assert.equal(body.usage.prompt_tokens, 7);
		assert.equal(body.usage.completion_tokens, 20);
		assert.match(String(answer.headers['x-request-id']), /^[\da-f\-]{36}$/v);
	});

	it('streams a completion with usage and the end mark', async () => {
		const answer = await send(fixture, '/v1/completions', {body: toBody({stream: true, stream_options: {include_usage: true}})});
		assert.match(String(answer.headers['content-type']), /^text\/event-stream/v);
		assert.equal(toStreamedText(answer.text), wholeAnswer);
		assert.match(answer.text, /"finish_reason":"length"[\s\S]*"completion_tokens":20[\s\S]*data: \[DONE\]\n\n$/v);
	});

	it('answers a chat', async () => {
		const messages = [{role: 'user', content: 'Hi'}];
		const answer = await send(fixture, '/v1/chat/completions', {body: JSON.stringify({model: 'summary', messages, max_tokens: 3})});
		const {choices} = JSON.parse(answer.text) as {choices: Array<{message: unknown}>};
		assert.deepEqual(choices[0]!.message, {role: 'assistant', content: expectedAnswer('user: Hi\nassistant:', 3).join('')});
	});

	it('lists the models', async () => {
		const answer = await send(fixture, '/v1/models', {method: 'GET', headers: {connection: 'keep-alive'}});
		assert.match(answer.text, /"id":"summary"/v);
		assert.notEqual(answer.headers.connection, 'close');
	});

	it('passes on a plain call', async () => {
		const answer = await send(fixture, '/desk/boxes?n=12', {body: '{"box":12}', headers: {connection: 'x-hop', 'x-hop': '1'}});
		assert.equal(answer.text, '{"box":12}');
		assert.equal(answer.headers['x-echo-path'], '/desk/boxes?n=12');
	});

	it('streams the large body of a plain call to the service', async () => {
		const body = 'x'.repeat(15_000);
		const answer = await send(fixture, '/desk/scan', {body, headers: {'transfer-encoding': 'chunked'}});
		assert.equal(answer.text, body);
	});
});

describe('callers: requests that are refused', () => {
	const cases: ReadonlyArray<[string, string, SendOptions, number, string]> = [
		['malformed JSON', '/v1/completions', {body: '{"model":'}, 400, 'bad-json'],
		['a field of the wrong type', '/v1/completions', {body: toBody({max_tokens: 'many'})}, 400, 'bad-request'],
		['a field that would change the answer', '/v1/completions', {body: toBody({n: 3})}, 400, 'bad-request'],
		['an empty body', '/v1/completions', {}, 400, 'bad-json'],
		['an unknown model', '/v1/completions', {body: toBody({model: 'other'})}, 404, 'unknown-model'],
		['a long prompt', '/v1/completions', {body: toBody({prompt: 'x'.repeat(4004)})}, 413, 'prompt-too-long'],
		['a large body', '/v1/completions', {body: toBody({prompt: 'x'.repeat(20_000)})}, 413, 'body-too-large'],
		['a large body of unknown length', '/v1/completions', {body: toBody({prompt: 'x'.repeat(20_000)}), headers: {'transfer-encoding': 'chunked'}}, 413, 'body-too-large'],
		['too many output tokens', '/v1/completions', {body: toBody({max_tokens: 501})}, 400, 'bad-request'],
		['another media type', '/v1/completions', {body: toBody(), headers: {'content-type': 'text/plain'}}, 415, 'wrong-media-type'],
		['a compressed body', '/v1/completions', {body: toBody(), headers: {'content-encoding': 'gzip'}}, 415, 'wrong-media-type'],
		['another method', '/v1/completions', {method: 'GET'}, 405, 'method-not-allowed'],
		['a wrong class', '/v1/completions', {body: toBody(), headers: {'x-service-class': 'fast'}}, 400, 'bad-request'],
		['non-repeatable work without a key', '/v1/completions', {body: toBody(), headers: {'x-kind': 'scene'}}, 400, 'key-required'],
		['non-repeatable work with a key that is no UUID', '/v1/completions', {body: toBody(), headers: {'x-kind': 'scene', 'idempotency-key': 'scene-7'}}, 400, 'key-invalid'],
		['a non-repeatable plain call without a key', '/orders/1', {body: '{}'}, 400, 'key-required'],
		['a large plain body', '/desk/scan', {body: 'x'.repeat(20_001)}, 413, 'body-too-large'],
	];
	for (const [name, path, options, status, kind] of cases) {
		it(`refuses ${name}`, async () => assertRefused(path, options, status, kind));
	}

	const rawCases: ReadonlyArray<[string, string, string]> = [
		['oversized headers', `POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-big: ${'x'.repeat(4000)}\r\n\r\n`, '431'],
		['headers that come too slowly', 'POST /v1/completions HTTP/1.1\r\nhost: x\r\n', '408'],
		['a body that comes too slowly', 'POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 100\r\n\r\n{"model"', '408'],
		['a plain body that comes too slowly', 'POST /desk/a HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{"model"', '408'],
		['bytes that are not HTTP', 'HELLO\r\n\r\n', '400'],
		['a request without a host', 'GET /v1/models HTTP/1.1\r\nconnection: close\r\n\r\n', '400'],
		['a request with an invalid host', 'GET /v1/models HTTP/1.1\r\nhost: a b/c\r\nconnection: close\r\n\r\n', '400'],
	];
	for (const [name, text, status] of rawCases) {
		it(`refuses ${name}`, async () => {
			const received = await sendRaw(text);
			assert.match(received, new RegExp(`^HTTP/1.1 ${status} `, 'v'));
			assert.match(received, /x-request-id: [\da-f\-]{36}[\s\S]*urn:banyanport:problem:/v);
		});
	}

	it('keeps serving after a caller resets the connection midway through its body', async () => {
		const socket = connect(fixture.port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write('POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 100\r\n\r\n{"mod');
		await waitUntil(() => socket.bytesWritten > 0, {deadlineMs: 5000, what: 'the request to be sent'});
		socket.resetAndDestroy();
		const answer = await send(fixture, '/v1/models', {method: 'GET'});
		assert.equal(answer.status, 200);
	});
});

describe('callers: limits of the host', () => {
	it('refuses a caller while there are too many connections, and serves it once there is room', async () => {
		const small = await startCallerFixture({settings: {maxConnections: 1}});
		const holder = connect(small.port, '127.0.0.1');
		await new Promise(resolve => {
			holder.once('connect', resolve);
		});
		const refused = await waitUntil(async () => {
			const answer = await send(small, '/v1/models', {method: 'GET'});
			return answer.status === 503 && answer;
		}, {deadlineMs: 5000, what: 'a refusal with 503'});
		assert.match(refused.text, /too-many-connections/v);
		assert.ok(refused.headers['retry-after'] !== undefined);
		holder.destroy();
		await waitUntil(async () => {
			const answer = await send(small, '/v1/models', {method: 'GET'});
			return answer.status === 200;
		}, {deadlineMs: 5000, what: 'an answer with 200 after the first connection closed'});
		await small.stop();
	});

	it('answers no-configuration until there is a configuration', async t => {
		const bare = await startCallerFixture({hasConfig: false});
		t.after(bare.stop);
		const answer = await send(bare, '/v1/completions', {body: toBody()});
		assert.equal(answer.status, 503);
		assert.match(answer.text, /no-configuration.*"outcome":"not-run"/v);
		// With a key, another host may have run the work already.
		for (const path of ['/v1/completions', '/desk/forwarding/17']) {
			const keyed = await send(bare, path, {body: toBody(), headers: {'idempotency-key': createKey()}});
			assert.equal(keyed.status, 503);
			assert.match(keyed.text, /no-configuration.*"outcome":"may-have-run"/v);
		}

		// The burn report must count these failures although no rule is known.
		const burn = await fetch(`http://127.0.0.1:${bare.entry.operatorPort}/slo`, {headers: {accept: 'application/json'}});
		const {series} = await burn.json() as SloDocument;
		const lost = series.filter(one => one.scope === 'rule');
		assert.deepEqual(lost.map(one => [one.name, one.windows['5m'].total, one.windows['5m'].bad]), [['(before any rule)', 3, 3]]);
	});

	it('requires a token if the configuration has tokens', async () => {
		const digest = createHash('sha256').update('t1').digest('hex');
		const closed = await startCallerFixture({configLines: `callerTokens: {${digest}: naslovnik}`});
		const [without, withToken] = await Promise.all([
			send(closed, '/v1/completions', {body: toBody()}),
			send(closed, '/v1/completions', {body: toBody(), headers: {authorization: 'Bearer t1'}}),
		]);
		assert.deepEqual([without.status, withToken.status], [401, 200]);
		await closed.stop();
	});
});

describe('callers: the account of a request', () => {
	it('lists the stages of a request in order, in the log and in the account, without its text', async () => {
		const answer = await send(fixture, '/v1/completions', {body: toBody()});
		const requestId = String(answer.headers['x-request-id']);
		const lines = fixture.logs().filter(line => line.requestId === requestId);
		assert.deepEqual(lines.map(line => line.message), ['request received', 'attempt started', 'first token relayed', 'request ended']);
		const account = fixture.entry.accounts.findAccount(requestId)!;
		assert.deepEqual(account.stages.map(stage => stage.stage), ['routed', 'admitted', 'placed', 'reserved', 'prefilled', 'transferred', 'first token', 'ended']);
		assert.ok(!JSON.stringify([lines, account]).includes(prompt) && !JSON.stringify([lines, account]).includes(wholeAnswer));
	});
});
