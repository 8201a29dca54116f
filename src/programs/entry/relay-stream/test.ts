import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {errAsync, okAsync} from 'neverthrow';
import {createAnswerBuffer} from '../../../domain/create-answer-buffer/index.js';
import {type DecodeChunk, type Engine} from '../../../ports/engine.js';
import {createOutcomeLedger} from '../outcome-ledger/index.js';
import {createStepSignal} from '../_lib/step.js';
import {createRunStream} from '../_lib/create-run-stream.js';
import {type Run, type RunServices} from '../_lib/types.js';
import {relayStream} from './index.js';

const key = {requestId: 'r', attempt: 1, owner: {host: 'h', incarnation: 1}};

/** Chunks of one connection, which ends by a break or too early; without a connection, the whole rest with a finish reason follows. */
type Connection = {
	pieces: ReadonlyArray<{kind: 'own' | 'crossed' | 'late' | 'repeated' | 'ahead'; count: number}>;
	ending: 'break' | 'early-end';
};

type ToChunk = (at: number, tokens: readonly string[], rest?: Partial<DecodeChunk>) => DecodeChunk;

/** Chunks that must never be relayed. */
const foreignChunks: Readonly<Record<'crossed' | 'late' | 'ahead', (offset: number, count: number, toChunk: ToChunk) => DecodeChunk>> = {
	crossed: (offset, _count, toChunk) => toChunk(offset, ['!'], {requestId: 'other'}),
	late: (offset, _count, toChunk) => toChunk(offset, ['!'], {attempt: 7}),
	ahead: (offset, count, toChunk) => toChunk(offset + count + 1, ['?']),
};

/** Chunks of an answer from an offset on, split and disturbed as the connection describes. */
async function * toStream(answer: readonly string[], from: number, connection: Connection | undefined): AsyncGenerator<DecodeChunk> {
	let offset = from;
	const toChunk: ToChunk = (at, tokens, rest = {}) => ({
		requestId: 'r', attempt: 1, offset: at, tokens, finish: undefined, ...rest,
	});
	for (const {kind, count} of connection?.pieces ?? []) {
		const start = kind === 'repeated' ? Math.max(0, offset - count) : offset;
		const end = kind === 'repeated' ? offset + 1 : offset + count;
		if (kind === 'own' || kind === 'repeated') {
			yield toChunk(start, answer.slice(start, end));
			offset = Math.min(answer.length, end);
		} else {
			yield foreignChunks[kind](offset, count, toChunk);
		}
	}

	if (connection?.ending === 'break') {
		throw new Error('reset');
	}

	if (connection === undefined) {
		yield toChunk(offset, answer.slice(offset), {finish: 'stop'});
	}
}

function createRun(relayed: string[]): Run {
	const buffer = createAnswerBuffer({requestId: 'r', keepsTokens: false});
	buffer.startAttempt(1);
	const quiet = () => undefined;
	return {
		id: 'r',
		receivedAt: 0,
		rule: {then: {class: 'quick', target: {perTokenMs: 61}}},
		signal: new AbortController().signal,
		buffer,
		ledger: createOutcomeLedger(),
		delivery: {
			relay(text: string) {
				relayed.push(text);
				return true;
			},
			drained: async () => true,
		},
		account: {addStage: quiet},
		log: {info: quiet, warn: quiet},
		stream: createRunStream({origin: undefined}),
	} as unknown as Run;
}

const services = {
	clock: {now: () => 0, wallNow: () => 0},
	gate: {noteFirstToken: () => undefined},
	runMetrics: {firstToken: () => undefined, countDroppedChunk: () => undefined, countResume: () => undefined},
} as unknown as RunServices;

async function relay(answer: readonly string[], connections: readonly Connection[], isGone = false) {
	const relayed: string[] = [];
	const run = createRun(relayed);
	let used = 0;
	const toNext = (offset: number) => toStream(answer, offset, connections[used++]);
	const engine = {
		resume: (_key: unknown, offset: number) => isGone
			? errAsync({
				kind: 'gone', reason: undefined, server: 'd', message: 'gone', retryAfterMs: undefined,
			})
			: okAsync(toNext(offset)),
	} as unknown as Engine;
	const end = await relayStream({
		run, services, engine, key, server: 'd', origin: {pool: 'main', softwareVersion: undefined}, step: createStepSignal(run.signal, () => 0), stream: toNext(0), noteTokens: () => undefined,
	});
	return {end, text: relayed.join(''), run};
}

describe('relayStream', () => {
	const answers = fc.array(fc.string({minLength: 1, maxLength: 3}), {minLength: 1, maxLength: 25});
	const piece = fc.record({kind: fc.constantFrom('own', 'own', 'crossed', 'late', 'repeated', 'ahead'), count: fc.integer({min: 0, max: 6})});
	const connection = fc.record({pieces: fc.array(piece, {maxLength: 8}), ending: fc.constantFrom('break', 'early-end')}) as fc.Arbitrary<Connection>;

	it('relays exactly the answer, or a prefix of it and a failure, whatever each connection does', async () => {
		await fc.assert(fc.asyncProperty(answers, fc.array(connection, {maxLength: 5}), async (answer, connections) => {
			const {end, text} = await relay(answer, connections);
			if (end.kind === 'complete') {
				assert.equal(text, answer.join(''));
			} else {
				assert.equal(end.kind, 'failed');
				assert.ok(answer.join('').startsWith(text));
			}
		}));
	});

	it('always completes when each connection brings a new token', async () => {
		const fruitful = connection.map(each => ({...each, pieces: [{kind: 'own' as const, count: 1}, ...each.pieces]}));
		await fc.assert(fc.asyncProperty(answers, fc.array(fruitful, {maxLength: 5}), async (answer, connections) => {
			const long = [...answer, ...Array.from({length: 60}, (_, i) => ` ${i}`)];
			const {end, text} = await relay(long, connections);
			assert.equal(end.kind, 'complete');
			assert.equal(text, long.join(''));
		}));
	});

	it('samples the token rate during the stream', async () => {
		const seen: Array<{tokens: number; tookMs: number}> = [];
		let now = 0;
		const tick = () => {
			now += 80;
			return now;
		};

		const run = createRun([]);
		const answer = Array.from({length: 20}, (_, i) => ` ${i}`);
		const stream = toStream(answer, 0, {pieces: answer.map(() => ({kind: 'own' as const, count: 1})), ending: 'early-end'});
		const engine = {resume: () => okAsync(toStream(answer, 20, undefined))} as unknown as Engine;
		await relayStream({
			run,
			services: {...services, clock: {now: tick, wallNow: () => 0}},
			engine,
			key,
			server: 'd',
			origin: {pool: 'main', softwareVersion: undefined},
			step: createStepSignal(run.signal, () => 0),
			stream,
			noteTokens(sample) {
				seen.push(sample);
			},
		});
		assert.ok(seen.length > 1);
		assert.equal(seen.reduce((sum, {tokens}) => sum + tokens, 0), 19);
		assert.ok(seen.every(({tokens, tookMs}) => tookMs / tokens >= 80));
	});

	it('fails when the server no longer has the stream', async () => {
		const {end, text} = await relay(['a', 'b', 'c'], [{pieces: [{kind: 'own', count: 2}], ending: 'break'}], true);
		assert.equal(end.kind, 'failed');
		assert.equal(text, 'ab');
	});

	it('fails after several connections without a token', async () => {
		const idle: Connection = {pieces: [], ending: 'early-end'};
		const {end} = await relay(['a'], [idle, idle, idle, idle]);
		assert.equal(end.kind, 'failed');
	});
});
