/**
 * The engine interface from both sides: the HTTP client against servers that
 * break the protocol, and the stand-in's word against its own judge.
 */
import assert from 'node:assert/strict';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {after, describe, it} from 'node:test';
import {createEngineHttp, type EngineHttp, type EngineHttpOptions} from '../../src/adapters/engine-http/index.js';
import {
	type AttemptKey, type EngineFailureKind, type EngineRefusalReason, type EngineStreamError, type LoadReport,
} from '../../src/ports/engine.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	expectedAnswer, startEngineStandIn, type EngineFaults, type EngineStandInOptions,
} from '../stand-ins/engine/index.js';

const owner = {host: 'dvorana-a-1', incarnation: 7};
const prompt = 'Spoštovani, v priponki pošiljamo odločbo. '.repeat(12);
const stops: Array<() => Promise<void>> = [];
let requests = 0;

after(async () => {
	for (const stop of stops) {
		await stop();
	}
});

const toKey = (attempt = 1): AttemptKey => {
	requests += 1;
	return {requestId: `letter-${requests}`, attempt, owner};
};

const toClient = (server: {id: string; url: string}, options: Partial<EngineHttpOptions> = {}): EngineHttp => {
	const client = createEngineHttp({server, streamIdleMs: 1000, ...options});
	stops.push(client.close);
	return client;
};

const startRaw = async (answer: (req: IncomingMessage, res: ServerResponse) => void) => {
	let calls = 0;
	const server = createServer((req, res) => {
		calls += 1;
		req.resume();
		req.once('end', () => {
			answer(req, res);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const stop = async (): Promise<void> => {
		server.closeAllConnections();
		server.close();
	};

	stops.push(stop);
	return {
		id: 'raw', url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, countCalls: () => calls, stop,
	};
};

const answerWith = (status: number, body: string, headers: Record<string, string> = {}) => (_: IncomingMessage, res: ServerResponse): void => {
	res.writeHead(status, headers);
	res.end(body);
};

type CallRow = {
	name: string;
	answer: (req: IncomingMessage, res: ServerResponse) => void;
	kind: EngineFailureKind;
	reason?: EngineRefusalReason;
	retryAfterMs?: number;
};

const toRefusal = (reason: string): string => JSON.stringify({error: {reason, message: 'no'}});

const callRows: CallRow[] = [
	{name: 'closes without an answer', answer: (_, res) => res.destroy(), kind: 'broken'},
	{
		name: 'resets midway in the body',
		answer(_, res) {
			res.writeHead(201, {'content-length': '100'});
			res.write('{"reservationId":', () => res.socket?.resetAndDestroy());
		},
		kind: 'broken',
	},
	{
		name: 'is truncated',
		answer(_, res) {
			res.writeHead(201, {'content-length': '100'});
			res.write('{"reservationId":"r"', () => res.destroy());
		},
		kind: 'broken',
	},
	{name: 'never answers', answer: () => undefined, kind: 'broken'},
	{
		name: 'refuses', answer: answerWith(409, toRefusal('full')), kind: 'refused', reason: 'full',
	},
	{
		name: 'refuses for a while', answer: answerWith(503, toRefusal('leaving'), {'retry-after-ms': '250'}), kind: 'refused', reason: 'leaving', retryAfterMs: 250,
	},
	{
		name: 'refuses for a reason of a later version', answer: answerWith(409, toRefusal('moon')), kind: 'refused', reason: 'other',
	},
	{name: 'gives 409 without its word', answer: answerWith(409, '{"error":"conflict"}'), kind: 'invalid'},
	{name: 'gives 503 of somebody between', answer: answerWith(503, '<html>'), kind: 'invalid'},
	{name: 'gives 410', answer: answerWith(410, '{}'), kind: 'gone'},
	{name: 'gives 500', answer: answerWith(500, '{}'), kind: 'invalid'},
	{name: 'gives another status of success', answer: answerWith(200, '{"reservationId":"r","expiresInMs":1}'), kind: 'invalid'},
	{name: 'gives fields of another version', answer: answerWith(201, '{"reservation":"r","expires":1}'), kind: 'invalid'},
	{name: 'gives no JSON', answer: answerWith(201, '{"reservationId":'), kind: 'invalid'},
	{name: 'gives an oversized body', answer: answerWith(201, JSON.stringify({reservationId: 'r'.repeat(5000), expiresInMs: 1})), kind: 'invalid'},
];

const reserve = async (client: EngineHttp, key: AttemptKey, signal?: AbortSignal) => client.reserve(key, {
	promptTokens: 100, maxTokens: 30, ttlMs: 5000, class: 'quick',
}, signal && {signal});

describe('createEngineHttp', () => {
	for (const row of callRows) {
		it(`says ${row.kind} of a server that ${row.name}, and asks it once`, async () => {
			const server = await startRaw(row.answer);
			const client = toClient(server, {callTimeoutMs: 300, maxAnswerBytes: 4096});
			const result = await reserve(client, toKey());
			const failure = result._unsafeUnwrapErr();
			assert.equal(failure.kind, row.kind, failure.message);
			assert.equal(failure.reason, row.reason);
			assert.equal(failure.retryAfterMs, row.retryAfterMs);
			assert.equal(server.countCalls(), 1);
		});
	}

	it('says unreachable where nobody listens', async () => {
		const server = await startRaw(answerWith(200, ''));
		await server.stop();
		const result = await reserve(toClient(server), toKey());
		assert.equal(result._unsafeUnwrapErr().kind, 'unreachable');
	});

	it('says broken, not unreachable, of a kept connection that dies under the call', async () => {
		let calls = 0;
		const server = await startRaw((req, res) => {
			calls += 1;
			if (calls === 1) {
				answerWith(201, '{"reservationId":"r","expiresInMs":1}')(req, res);
			} else {
				res.destroy();
			}
		});
		const client = toClient(server);
		const first = await reserve(client, toKey());
		assert.ok(first.isOk());
		const second = await reserve(client, toKey());
		assert.equal(second._unsafeUnwrapErr().kind, 'broken');
		assert.equal(calls, 2);
	});

	it('says aborted at once when its caller gives up', async () => {
		const server = await startRaw(() => undefined);
		const controller = new AbortController();
		const pending = reserve(toClient(server), toKey(), controller.signal);
		await waitUntil(() => server.countCalls() === 1, {deadlineMs: 5000, what: 'the call'});
		controller.abort();
		const result = await pending;
		assert.equal(result._unsafeUnwrapErr().kind, 'aborted');
	});

	it('sends nothing for a caller who gave up before', async () => {
		const server = await startRaw(answerWith(201, ''));
		const result = await reserve(toClient(server), toKey(), AbortSignal.abort());
		assert.equal(result._unsafeUnwrapErr().kind, 'aborted');
		assert.equal(server.countCalls(), 0);
	});

	it('sends nothing for a caller who gives up while it waits for a connection', async () => {
		let finish: (() => void) | undefined;
		const server = await startRaw((req, res) => {
			finish = () => {
				answerWith(201, '{"reservationId":"r","expiresInMs":1}')(req, res);
			};
		});
		const client = toClient(server, {connections: 1});
		const first = reserve(client, toKey());
		await waitUntil(() => finish !== undefined, {deadlineMs: 5000, what: 'the first call'});
		const controller = new AbortController();
		const second = reserve(client, toKey(), controller.signal);
		controller.abort();
		const given = await second;
		assert.equal(given._unsafeUnwrapErr().kind, 'aborted');
		finish?.();
		const answered = await first;
		assert.ok(answered.isOk());
		const third = reserve(client, toKey());
		await waitUntil(() => server.countCalls() === 2, {deadlineMs: 5000, what: 'the third call'});
		finish?.();
		const last = await third;
		assert.ok(last.isOk());
		assert.equal(server.countCalls(), 2);
	});

	it('refuses a load report or a list of holds that lacks a field', async () => {
		const server = await startRaw((req, res) => {
			answerWith(200, req.url === '/engine/load' ? '{"server":"e","role":"decode"}' : '{"holds":[{"requestId":"r"}]}')(req, res);
		});
		const client = toClient(server);
		const load = await client.load();
		const holds = await client.listHolds();
		assert.equal(load._unsafeUnwrapErr().kind, 'invalid');
		assert.equal(holds._unsafeUnwrapErr().kind, 'invalid');
	});
});

const startPair = async (options: Partial<EngineStandInOptions> = {}) => {
	const prefillEngine = await startEngineStandIn({...options, id: 'p1', role: 'prefill'});
	const decodeEngine = await startEngineStandIn({
		decodeTokensPerSecond: 300, ...options, id: 'd1', role: 'decode',
	});
	stops.push(prefillEngine.stop, decodeEngine.stop);
	const dropped: string[] = [];
	const prefill = toClient(prefillEngine);
	const decode = toClient(decodeEngine, {onDropped: cause => dropped.push(cause)});
	return {
		prefillEngine, decodeEngine, prefill, decode, dropped,
	};
};

type Pair = Awaited<ReturnType<typeof startPair>>;

const runPrefill = async ({prefill}: Pair, key: AttemptKey, answered: readonly string[] = []) => prefill.prefill({
	key, model: 'post-summary', version: undefined, adapter: undefined, prompt, answered, class: 'quick', deadlineInMs: 5000,
});

/** Brings an attempt to where its stream can be opened. */
const prepare = async (pair: Pair, key: AttemptKey, answered: readonly string[] = []): Promise<string> => {
	const reserved = await reserve(pair.decode, key);
	const {reservationId} = reserved._unsafeUnwrap();
	const prefilled = await runPrefill(pair, key, answered);
	const imported = await pair.decode.importKv({
		key, reservationId, fromUrl: pair.prefillEngine.url, kvId: prefilled._unsafeUnwrap().kvId,
	});
	assert.ok(imported.isOk(), JSON.stringify(imported));
	return reservationId;
};

/** Reads a stream into `got`, and gives the kind of failure it ended with. */
const readInto = async (got: string[], stream: AsyncIterable<{offset: number; tokens: readonly string[]}>): Promise<EngineFailureKind | undefined> => {
	try {
		for await (const chunk of stream) {
			assert.equal(chunk.offset, got.length);
			got.push(...chunk.tokens);
		}

		return undefined;
	} catch (error) {
		return (error as EngineStreamError).failure.kind;
	}
};

const maxTokens = 30;

type StreamRow = {fault: NonNullable<EngineFaults['stream']>; ends: EngineFailureKind | undefined; dropped?: string};

const streamRows: StreamRow[] = [
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
	for (const {fault, ends, dropped} of streamRows) {
		it(`that is ${fault.kind} at token ${fault.atToken} gives the whole answer, once, from one decode`, async () => {
			const pair = await startPair();
			const key = toKey();
			const reservationId = await prepare(pair, key);
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
			await waitUntil(() => pair.decodeEngine.judge().holds.length === 0, {deadlineMs: 5000, what: 'the release'});
		});
	}

	it('keeps the tokens of two crossed streams apart', async () => {
		const pair = await startPair();
		const keys = [toKey(), toKey()];
		const reservations = [await prepare(pair, keys[0]!), await prepare(pair, keys[1]!)];
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

	it('continues behind the tokens that a re-run names', async () => {
		const pair = await startPair();
		const key = toKey(2);
		const right = expectedAnswer(prompt, maxTokens);
		const got = right.slice(0, 11);
		const reservationId = await prepare(pair, key, got);
		const stream = await pair.decode.decode({
			key, reservationId, maxTokens, answerOffset: got.length, class: 'quick',
		});
		assert.equal(await readInto(got, stream._unsafeUnwrap()), undefined);
		assert.deepEqual(got, right);
		assert.equal(pair.prefillEngine.judgeRequest(key.requestId).wrongContinuations, 0);
	});

	it('goes on without a reader, and is gone once read to its end', async () => {
		const pair = await startPair();
		const key = toKey();
		const reservationId = await prepare(pair, key);
		const gone = new AbortController();
		const stream = await pair.decode.decode({
			key, reservationId, maxTokens, class: 'quick',
		}, {signal: gone.signal});
		gone.abort();
		assert.equal(await readInto([], stream._unsafeUnwrap()), 'aborted');
		await waitUntil(() => pair.decodeEngine.judgeRequest(key.requestId).decodesFinished === 1, {deadlineMs: 5000, what: 'the end of the decode'});
		const got: string[] = [];
		const resumed = await pair.decode.resume(key, 0);
		assert.equal(await readInto(got, resumed._unsafeUnwrap()), undefined);
		assert.deepEqual(got, expectedAnswer(prompt, maxTokens));
		await waitUntil(() => pair.decodeEngine.judge().holds.length === 0, {deadlineMs: 5000, what: 'the release'});
		const again = await pair.decode.resume(key, 0);
		assert.equal(again._unsafeUnwrapErr().kind, 'gone');
	});
});

type CancelRow = {
	name: string;
	/** Brings the attempt to a stage and gives what it waits for. */
	reach: (pair: Pair, key: AttemptKey) => Promise<unknown>;
	waste: string | undefined;
	started: {prefills: number; decodes: number};
};

const cancelRows: CancelRow[] = [
	{
		name: 'before anything', reach: async () => undefined, waste: undefined, started: {prefills: 0, decodes: 0},
	},
	{
		name: 'with a reservation', reach: async (pair, key) => reserve(pair.decode, key), waste: undefined, started: {prefills: 0, decodes: 0},
	},
	{
		name: 'in the queue',
		async reach(pair, key) {
			void runPrefill(pair, toKey());
			void runPrefill(pair, key);
			await waitUntil(() => pair.prefillEngine.judge().holds.some(hold => hold.requestId === key.requestId && hold.kind === 'queued'), {deadlineMs: 5000, what: 'the queue'});
		},
		waste: undefined,
		started: {prefills: 0, decodes: 0},
	},
	{
		name: 'in prefill',
		async reach(pair, key) {
			void runPrefill(pair, key);
			await waitUntil(() => pair.prefillEngine.judge().holds.some(hold => hold.kind === 'prefill'), {deadlineMs: 5000, what: 'the prefill'});
		},
		waste: 'cancelled-in-prefill',
		started: {prefills: 1, decodes: 0},
	},
	{
		name: 'after prefill', reach: runPrefill, waste: 'cancelled-before-transfer', started: {prefills: 1, decodes: 0},
	},
	{
		name: 'before decode', reach: prepare, waste: 'cancelled-before-decode', started: {prefills: 1, decodes: 0},
	},
	{
		name: 'in decode',
		async reach(pair, key) {
			const reservationId = await prepare(pair, key);
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
		it(`${row.name} frees everything and bars the attempt`, async () => {
			// Slow enough that the test sees the queue and the computation.
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

	it('that is lost is not done, and is told as broken', async () => {
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

const expectReason = (result: {_unsafeUnwrapErr: () => {reason: EngineRefusalReason | undefined}}, reason: EngineRefusalReason): void => {
	assert.equal(result._unsafeUnwrapErr().reason, reason);
};

describe('the engine stand-in', () => {
	it('fills its slots and no more, and frees a reservation at its expiry', async () => {
		const pair = await startPair({slots: 2});
		const request = {
			promptTokens: 1, maxTokens: 1, ttlMs: 100, class: 'quick',
		} as const;
		const keys = [toKey(), toKey(), toKey()];
		const early = [await pair.decode.reserve(keys[0]!, request), await reserve(pair.decode, keys[1]!)];
		assert.ok(early.every(result => result.isOk()));
		expectReason(await reserve(pair.decode, keys[2]!), 'full');
		await waitUntil(() => pair.decodeEngine.judge().holds.length === 1, {deadlineMs: 5000, what: 'the expiry'});
		const late = await reserve(pair.decode, keys[2]!);
		assert.ok(late.isOk());
	});

	it('lets a cache expire and counts it as wasted', async () => {
		const pair = await startPair({kvTtlMs: 50});
		const key = toKey();
		const reserved = await reserve(pair.decode, key);
		const prefilled = await runPrefill(pair, key);
		await waitUntil(() => pair.prefillEngine.judge().wasted['expired-before-transfer'] === 1, {deadlineMs: 5000, what: 'the expiry'});
		const imported = await pair.decode.importKv({
			key, reservationId: reserved._unsafeUnwrap().reservationId, fromUrl: pair.prefillEngine.url, kvId: prefilled._unsafeUnwrap().kvId,
		});
		assert.equal(imported._unsafeUnwrapErr().kind, 'gone');
	});

	it('says that the source failed when a transfer breaks midway', async () => {
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

	it('loses its memory but not its counts in a crash, and comes back on its port', async () => {
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

	it('drops a cache whose transfer stalled as soon as its taker gives up', async () => {
		const pair = await startPair({kvTtlMs: 1000});
		const key = toKey();
		const reserved = await reserve(pair.decode, key);
		const prefilled = await runPrefill(pair, key);
		pair.prefillEngine.setFaults({transfer: {kind: 'stall', times: 1}});
		const importing = pair.decode.importKv({
			key, reservationId: reserved._unsafeUnwrap().reservationId, fromUrl: pair.prefillEngine.url, kvId: prefilled._unsafeUnwrap().kvId,
		});
		await waitUntil(() => (pair.prefillEngine.judge().holds[0]?.heldForMs ?? 0) > 1500, {deadlineMs: 10_000, what: 'the end of its life'});
		await pair.decode.cancel(key);
		expectReason(await importing, 'expired');
		await waitUntil(() => pair.prefillEngine.judge().holds.length === 0, {deadlineMs: 10_000, what: 'the release'});
		assert.deepEqual(pair.prefillEngine.judge().wasted, {'transfer-failed': 1});
	});

	it('takes quick prefills before batch ones', async () => {
		// Long enough for the third to come while the first still runs, also on a busy machine.
		const pair = await startPair({prefillBaseMs: 1000});
		const ended: string[] = [];
		const run = async (name: string, serviceClass: 'quick' | 'batch'): Promise<void> => {
			await pair.prefill.prefill({
				key: toKey(), model: 'post-summary', version: undefined, adapter: undefined, prompt: name.repeat(50), class: serviceClass, deadlineInMs: 10_000,
			});
			ended.push(name);
		};

		const first = run('running', 'batch');
		await waitUntil(() => pair.prefillEngine.judge().holds.length === 1, {deadlineMs: 5000, what: 'the first'});
		const second = run('batch', 'batch');
		await waitUntil(() => pair.prefillEngine.judge().holds.length === 2, {deadlineMs: 5000, what: 'the second'});
		await Promise.all([first, second, run('quick', 'quick')]);
		assert.deepEqual(ended, ['running', 'quick', 'batch']);
	});

	it('finds a prompt again in its prefix cache, and tells of it late and with gaps', async () => {
		const pair = await startPair({cacheEventLagMs: 100, cacheEventGap: 4});
		const [cold, warm] = [await runPrefill(pair, toKey()), await runPrefill(pair, toKey())];
		assert.equal(cold._unsafeUnwrap().cachedTokens, 0);
		assert.ok(warm._unsafeUnwrap().cachedTokens > 0);
		const told = await waitUntil(async () => {
			// No part of the product reads them; see note 004.
			const answer = await fetch(`${pair.prefillEngine.url}/engine/cache-events?since=1`);
			const events = await answer.json() as {next: number; events: Array<{seq: number}>};
			return events.next > 4 && events;
		}, {deadlineMs: 5000, what: 'cache events'});
		assert.deepEqual(told.events.slice(0, 4).map(({seq}) => seq), [1, 2, 3, 5]);
	});

	it('gives nothing new to do while it leaves, and ends what it has', async () => {
		const pair = await startPair();
		const key = toKey();
		const reservationId = await prepare(pair, key);
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
		}, {deadlineMs: 5000, what: 'the lagging report'});
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
			}, {deadlineMs: 5000, what: 'the load of the version'});
		});
	}

	it('reports load late, with its age', async () => {
		const pair = await startPair({loadLagMs: 400});
		await reserve(pair.decode, toKey());
		const early = await pair.decode.load();
		assert.equal(early._unsafeUnwrap().slotsUsed, 0);
		assert.equal(early._unsafeUnwrap().ageMs, 400);
		await waitUntil(async () => {
			const load = await pair.decode.load();
			return load._unsafeUnwrap().slotsUsed === 1;
		}, {deadlineMs: 5000, what: 'the report'});
	});

	it('names the owner of everything it holds', async () => {
		const pair = await startPair({kvTtlMs: 20_000});
		const key = toKey();
		await reserve(pair.decode, key);
		await runPrefill(pair, key);
		const lists = [await pair.prefill.listHolds(), await pair.decode.listHolds()];
		const holds = lists.flatMap(list => list._unsafeUnwrap());
		assert.deepEqual(holds.map(hold => [hold.kind, hold.requestId, hold.owner]), [['kv', key.requestId, owner], ['reservation', key.requestId, owner]]);
	});
});

