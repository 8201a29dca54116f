import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {errAsync, okAsync} from 'neverthrow';
import {createAnswerBuffer} from '../../../domain/create-answer-buffer/index.js';
import {createPlacement} from '../../../domain/create-placement/index.js';
import {
	toConfig, toSeededRandom, toServer, toStatus, toView,
} from '../../../domain/create-placement/_lib/fixtures.js';
import {createRetryBudget} from '../../../domain/create-retry-budget/index.js';
import {createTransferTimeouts} from '../../../domain/create-transfer-timeouts/index.js';
import {type ServerEntry} from '../../../ports/config.js';
import {type DecodeChunk, type Engine, type EngineFailure} from '../../../ports/engine.js';
import {createOutcomeLedger} from '../outcome-ledger/index.js';
import {type Run, type RunServices} from '../_lib/types.js';
import {runRequest} from './index.js';

const quiet = () => undefined;
const decodes = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6'];
const servers = [toServer('p1', 'prefill'), ...decodes.map(id => toServer(id, 'decode'))];

type Answer = 'full' | 'broken' | 'unreachable' | 'room';

const toFailure = (server: string, answer: Exclude<Answer, 'room'>): EngineFailure => ({
	kind: answer === 'full' ? 'refused' : answer, reason: answer === 'full' ? 'full' : undefined, server, message: answer, retryAfterMs: undefined,
});

async function * toStream(attempt: number): AsyncGenerator<DecodeChunk> {
	yield {
		requestId: 'r', attempt, offset: 0, tokens: ['ahoj'], finish: 'stop',
	};
}

/** A request to a pool whose decode servers answer reservations as `toAnswer` says; load reports show all of them empty. */
function createFixture(toAnswer: (server: string, asked: number) => Answer, prefill?: EngineFailure) {
	const asked: string[] = [];
	const noted: string[] = [];
	const budget = createRetryBudget({baseMs: 1, maxMs: 1});
	const buffer = createAnswerBuffer({requestId: 'r', keepsTokens: true});
	const clock = {now: () => 1000, wallNow: () => 0};
	const then = {
		pool: 'main', class: 'quick', repeatable: true, target: {firstTokenMs: 2000, perTokenMs: 100, completeMs: 60_000},
	};
	const account = {
		addStage(stage: string) {
			noted.push(stage);
		},
		addLazyStage: quiet,
		resolveDetails: quiet,
	};
	const run = {
		id: 'r',
		rule: {then},
		request: {prompt: 'x', maxTokens: 10},
		model: 'm',
		promptTokens: 100,
		prefixBlocks: [],
		receivedAt: 1000,
		firstTokenDeadline: 3000,
		deadline: 61_000,
		signal: new AbortController().signal,
		buffer,
		ledger: createOutcomeLedger(),
		delivery: {relay: () => true, drained: async () => true},
		account,
		log: {info: quiet, warn: quiet},
	} as unknown as Run;
	const toEngine = (server: ServerEntry) => ({
		reserve() {
			asked.push(server.id);
			const answer = toAnswer(server.id, asked.length);
			return answer === 'room' ? okAsync({reservationId: 'v', expiresInMs: 5000}) : errAsync(toFailure(server.id, answer));
		},
		prefill: () => prefill === undefined
			? okAsync({
				kvId: 'k', promptTokens: 100, cachedTokens: 0, bytes: 1,
			})
			: errAsync(prefill),
		importKv: () => okAsync({bytes: 1}),
		decode: ({key}: Parameters<Engine['decode']>[0]) => okAsync(toStream(key.attempt)),
	}) as unknown as Engine;
	const services = {
		clock,
		random: toSeededRandom(3),
		toOwner: () => ({host: 'h', incarnation: 1}),
		toView: () => toView(toConfig(servers), servers.map(server => toStatus(server, 1000))),
		toEngine,
		placement: createPlacement({zone: 'a'}),
		gate: {noteFirstToken: quiet},
		cancels: {add: quiet},
		reportLeaving: quiet,
		toRetryBudget: () => budget,
		transferTimeouts: createTransferTimeouts(),
		runMetrics: {
			firstToken: quiet, countDroppedChunk: quiet, countResume: quiet, countRerun: quiet, countRetryDecision: quiet, countWastedPrefill: quiet,
		},
		reservationTtlMs: 1000,
	} as unknown as RunServices;
	return {
		asked, noted, spent: () => 10 - budget.available(1000), runRequest: async () => runRequest(run, services, 1),
	};
}

describe('runRequest', {timeout: 30_000}, () => {
	it('asks each full server once, charges nothing for it, and then waits for admission again', async () => {
		const fixture = createFixture(() => 'full');
		const {end, nextAttempt} = await fixture.runRequest();
		assert.equal(end.kind, 'bounced');
		assert.equal(end.kind === 'bounced' && end.problem.outcome, 'not-run');
		assert.deepEqual(fixture.asked.toSorted((a, b) => a < b ? -1 : 1), decodes);
		assert.equal(fixture.spent(), 0);
		assert.equal(nextAttempt, decodes.length + 1, 'engines see each attempt under a number of its own');
	});

	it('runs on the first server with a free slot, however many were full before', async () => {
		const fixture = createFixture((_server, asked) => asked < decodes.length ? 'full' : 'room');
		const {end} = await fixture.runRequest();
		assert.equal(end.kind, 'complete');
		assert.equal(fixture.asked.length, decodes.length);
	});

	it('keeps the whole budget for failures that come after full servers', async () => {
		const answers: readonly Answer[] = ['full', 'full', 'full', 'broken', 'room'];
		const fixture = createFixture((_server, asked) => answers[asked - 1]!);
		const {end} = await fixture.runRequest();
		assert.equal(end.kind, 'complete');
		assert.equal(new Set(fixture.asked).size, answers.length, 'neither a full server nor the one that failed is asked again');
		assert.deepEqual(fixture.noted.filter(stage => stage === 'server full' || stage === 'attempt failed'), ['server full', 'server full', 'server full', 'attempt failed']);
	});

	it('answers no-capacity, not backend-failed, when no server can be reached', async () => {
		const fixture = createFixture(() => 'unreachable');
		const {end} = await fixture.runRequest();
		assert.equal(end.kind, 'failed');
		assert.deepEqual(end.kind === 'failed' && [end.problem.kind, end.problem.outcome, end.problem.retryAfterMs], ['no-capacity', 'not-run', 1000]);
	});

	for (const [reason, outcome] of [['duplicate', 'may-have-run'], ['leaving', 'not-run']] as const) {
		it(`reports ${outcome} when every prefill is refused as ${reason}`, async () => {
			const refused: EngineFailure = {
				kind: 'refused', reason, server: 'p1', message: reason, retryAfterMs: undefined,
			};
			const {end} = await createFixture(() => 'room', refused).runRequest();
			assert.equal(end.kind === 'failed' && end.problem.outcome, outcome);
		});
	}

	it('charges a failure to the retry budget', async () => {
		const fixture = createFixture((_server, asked) => asked === 1 ? 'broken' : 'full');
		const {end} = await fixture.runRequest();
		assert.equal(end.kind, 'bounced');
		assert.equal(fixture.spent(), 0.25);
	});
});
