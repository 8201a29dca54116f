import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {createDeferred} from '../../../_lib/create-deferred/index.js';
import {waitUntil} from '../../../../test/_lib/wait-until/index.js';
import {startFleet, toRequest, type Host} from './_test/start-fleet.js';
import {
	type KeyedRequest, type KeyedVerdict, type ServeKeyedOptions, serveKeyed,
} from './index.js';

const text = new TextDecoder();

function createExchange(): {exchange: CallerExchange; sent: string[]; disconnectCaller: () => void} {
	const sent: string[] = [];
	const disconnect = new AbortController();
	const exchange = {
		requestId: 'r',
		disconnectSignal: disconnect.signal,
		isStarted: () => sent.length > 0,
		startStream(status: number) {
			sent.push(`${status}:`);
		},
		write(piece: Uint8Array | string) {
			sent.push(typeof piece === 'string' ? piece : text.decode(piece));
			return true;
		},
		drained: async () => true,
		end() {
			sent.push('|end');
		},
		destroy() {
			sent.push('|destroyed');
		},
		sendProblem(problem: {kind: string}) {
			sent.push(problem.kind);
		},
	} as unknown as CallerExchange;
	return {
		exchange, sent, disconnectCaller() {
			disconnect.abort();
		},
	};
}

describe('serveKeyed', {timeout: 60_000}, () => {
	async function serve(host: Host, request: KeyedRequest, exchange: CallerExchange, work: (recorded: CallerExchange) => Promise<KeyedVerdict>, options: Pick<ServeKeyedOptions, 'onJoinEnded' | 'isOpaque'> = {}) { // eslint-disable-line max-params -- a helper of these tests
		await serveKeyed(host.claims, exchange, request, {
			writeTimeoutMs: 1000, now: () => performance.now(), serve: work, ...options,
		});
	}

	const answer = async (recorded: CallerExchange): Promise<KeyedVerdict> => {
		recorded.startStream(200, {});
		recorded.write('scene');
		recorded.end();
		return 'complete';
	};

	it('answers the first caller from the run and the second from what was kept', async context => {
		const hosts = await startFleet(context);
		const request = toRequest();
		for (const host of [hosts[0]!, hosts[3]!]) {
			const {exchange, sent} = createExchange();
			await serve(host, request, exchange, answer);
			assert.equal(sent.join(''), '200:scene|end');
		}
	});

	it('aborts the work\'s signal when its caller has disconnected and none has joined', async context => {
		const hosts = await startFleet(context);
		const {exchange, disconnectCaller} = createExchange();
		let hasEnded = false;
		await serve(hosts[0]!, toRequest(), exchange, async recorded => {
			const gone = new Promise(resolve => {
				recorded.disconnectSignal.addEventListener('abort', resolve);
			});
			disconnectCaller();
			await gone;
			hasEnded = true;
			return 'not-run';
		});
		assert.equal(hasEnded, true);
	});

	const ends: Array<{verdict: KeyedVerdict; isRepeatable: boolean; again: string}> = [
		{verdict: 'failed', isRepeatable: true, again: '200:scene|end'},
		{verdict: 'failed', isRepeatable: false, again: '502:lost|end'},
		{verdict: 'not-run', isRepeatable: false, again: '200:scene|end'},
	];
	for (const {verdict, isRepeatable, again} of ends) {
		it(`answers a second call with ${again} after ${isRepeatable ? 'repeatable' : 'other'} work ended as ${verdict}`, async context => {
			const hosts = await startFleet(context);
			const request = toRequest({isRepeatable});
			const first = createExchange();
			await serve(hosts[0]!, request, first.exchange, async recorded => {
				recorded.sendAnswer(502, {}, 'lost');
				return verdict;
			});
			assert.equal(first.sent.join(''), '502:lost|end');
			const second = createExchange();
			await serve(hosts[1]!, request, second.exchange, answer);
			assert.equal(second.sent.join(''), again);
		});
	}

	const kept: Array<{status: number; type: string; kind: string}> = [
		{status: 200, type: 'application/json', kind: 'complete'},
		{status: 404, type: 'application/problem+json', kind: 'complete'},
		{status: 503, type: 'application/problem+json', kind: 'refused'},
	];
	for (const {status, type, kind} of kept) {
		it(`reports a joined answer of ${status} as ${kind}, with the host that ran it`, async context => {
			const hosts = await startFleet(context);
			const request = toRequest();
			const told: unknown[] = [];
			const note: ServeKeyedOptions['onJoinEnded'] = (host, end) => {
				told.push([host, end.kind, end.startedAt !== undefined]);
			};

			const work = async (recorded: CallerExchange): Promise<KeyedVerdict> => {
				recorded.sendAnswer(status, {'content-type': type}, 'scene');
				return 'failed';
			};

			await serve(hosts[0]!, request, createExchange().exchange, work, {onJoinEnded: note});
			assert.deepEqual(told, [], 'the first call joins nothing');
			await serve(hosts[1]!, request, createExchange().exchange, work, {onJoinEnded: note});
			assert.deepEqual(told, [['host-0', kind, true]]);
		});
	}

	it('breaks both connections of a cut answer, the second with a reason', async context => {
		const hosts = await startFleet(context);
		const request = toRequest();
		const first = createExchange();
		await serve(hosts[0]!, request, first.exchange, async recorded => {
			recorded.startStream(200, {});
			recorded.write('sce');
			recorded.destroy();
			return 'failed';
		});
		assert.equal(first.sent.join(''), '200:sce|destroyed');
		const second = createExchange();
		await serve(hosts[1]!, request, second.exchange, answer);
		assert.deepEqual(second.sent, ['key-used']);
	});

	const cuts = [
		{name: 'between two events', pieces: ['data: sce\n\n'], isTold: true},
		{name: 'within an event', pieces: ['data: sce\n\n', 'data: s'], isTold: false},
		// Guards against a truncated stream that looks complete: its callers know no error event of this system.
		{
			name: 'between two events of another service', pieces: ['data: sce\n\n'], isTold: false, isOpaque: true,
		},
	];
	for (const {name, pieces, isTold, isOpaque} of cuts) {
		it(`${isTold ? 'ends a stream of events with an error event' : 'destroys the connection of a stream of events'} when another connection takes over ${name}`, async context => {
			const hosts = await startFleet(context);
			const request = toRequest();
			const first = createExchange();
			const second = createExchange();
			const hasBegun = createDeferred();
			const isTakenOver = createDeferred();
			const served = serve(hosts[0]!, request, first.exchange, async recorded => {
				recorded.startStream(200, {'content-type': 'text/event-stream; charset=utf-8'});
				for (const piece of pieces) {
					recorded.write(piece);
				}

				hasBegun.resolve();
				await isTakenOver.promise;
				recorded.write('data: [DONE]\n\n');
				recorded.end();
				return 'complete';
			}, {isOpaque});
			await hasBegun.promise;
			await waitUntil(() => first.sent.join('').endsWith(pieces.at(-1)!), {deadlineMs: 10_000, what: 'the beginning of the answer'});
			const again = serve(hosts[1]!, request, second.exchange, answer);
			await waitUntil(() => /\|\w+$/v.test(first.sent.join('')), {deadlineMs: 10_000, what: 'the end of the first delivery'});
			isTakenOver.resolve();
			await Promise.all([served, again]);
			const told = first.sent.join('').slice('200:'.length + pieces.join('').length);
			assert.match(told, isTold ? /^event: error\ndata: \{.*problem:key-used.*"outcome":"ran".*\}\n\n\|end$/v : /^\|destroyed$/v);
			assert.equal(second.sent.join(''), `200:${pieces.join('')}data: [DONE]\n\n|end`);
		});
	}
});
