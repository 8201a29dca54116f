/** A request to a pool of model servers, without sockets. */
import {errAsync, okAsync} from 'neverthrow';
import {createAnswerBuffer} from '../../../../domain/create-answer-buffer/index.js';
import {createPlacement} from '../../../../domain/create-placement/index.js';
import {
	toConfig, toSeededRandom, toServer, toStatus, toView,
} from '../../../../domain/create-placement/_lib/fixtures.js';
import {createRetryBudget} from '../../../../domain/create-retry-budget/index.js';
import {createTransferTimeouts} from '../../../../domain/create-transfer-timeouts/index.js';
import {type ServerEntry} from '../../../../ports/config.js';
import {type DecodeChunk, type Engine, type EngineFailure} from '../../../../ports/engine.js';
import {createOutcomeLedger} from '../../outcome-ledger/index.js';
import {createRunStream} from '../../_lib/create-run-stream.js';
import {type Run, type RunServices} from '../../_lib/types.js';
import {runRequest} from '../index.js';

const quiet = () => undefined;
export const decodes = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6'];
const unversioned = [toServer('p1', 'prefill'), ...decodes.map(id => toServer(id, 'decode'))];

/** How a decode server answers a reservation. */
export type Answer = 'full' | 'broken' | 'unreachable' | 'room';

const toFailure = (server: string, answer: Exclude<Answer, 'room'>): EngineFailure => ({
	kind: answer === 'full' ? 'refused' : answer, reason: answer === 'full' ? 'full' : undefined, server, message: answer, retryAfterMs: undefined,
});

async function * toStream(attempt: number): AsyncGenerator<DecodeChunk> {
	yield {
		requestId: 'r', attempt, offset: 0, tokens: ['ahoj'], finish: 'stop',
	};
}

export type FixtureOptions = {
	/** Failure of each prefill; none by default. */
	prefill?: EngineFailure;
	servers?: readonly ServerEntry[];
	seed?: number;
	/** Called when the request looks whether its caller has left. */
	onReadClose?: (leave: () => void) => void;
	/** Answer of a decode server to an attempt. */
	stream?: (server: string, attempt: number) => AsyncGenerator<DecodeChunk>;
};

/**
 * Creates a request to a pool; load reports show all of its servers empty.
 *
 * @param toAnswer - How decode servers answer reservations.
 * @param options - See {@link FixtureOptions}.
 * @returns Functions that run the request and show what happened.
 */
export function createFixture(toAnswer: (server: string, asked: number) => Answer, {prefill, servers = unversioned, seed = 3, onReadClose, stream = (_server, attempt) => toStream(attempt)}: FixtureOptions = {}) {
	const asked: string[] = [];
	const noted: string[] = [];
	const budget = createRetryBudget({baseMs: 1, maxMs: 1});
	const buffer = createAnswerBuffer({requestId: 'r', keepsTokens: true});
	const clock = {now: () => 1000, wallNow: () => 0};
	const then = {
		pool: 'main', class: 'quick', repeatable: true, target: {firstTokenMs: 2000, perTokenMs: 100, completeMs: 60_000},
	};
	const caller = new AbortController();
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
		async readClose() {
			onReadClose?.(() => {
				caller.abort('caller-gone');
			});
		},
		signal: caller.signal,
		buffer,
		ledger: createOutcomeLedger(),
		delivery: {relay: () => true, drained: async () => true},
		account,
		log: {info: quiet, warn: quiet},
		stream: createRunStream({origin: undefined}),
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
		decode: ({key}: Parameters<Engine['decode']>[0]) => okAsync(stream(server.id, key.attempt)),
		resume: () => errAsync(toFailure(server.id, 'broken')),
	}) as unknown as Engine;
	const services = {
		clock,
		random: toSeededRandom(seed),
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
		asked, noted, tokens: buffer.tokens, spent: () => 10 - budget.available(1000), runRequest: async () => runRequest(run, services, 1),
	};
}
