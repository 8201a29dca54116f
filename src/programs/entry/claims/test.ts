import assert from 'node:assert/strict';
import {type TestContext, describe, it} from 'node:test';
import {v7} from 'uuid';
import {listenPeers, type PeerHello} from '../../../adapters/peer-tcp/index.js';
import {type CallerExchange} from '../../../adapters/caller-http/index.js';
import {createLog} from '../../../adapters/log/index.js';
import {createDeferred} from '../../../_lib/create-deferred/index.js';
import {type RunReader} from '../../../domain/create-run-table/index.js';
import {type FleetView, type HostStatus} from '../../../ports/view.js';
import {waitUntil} from '../../../../test/_lib/wait-until/index.js';
import {
	type Claims, type KeyedRequest, type KeyedVerdict, type ServeKeyedOptions, createClaims, serveKeyed,
} from './index.js';

const hour = 3_600_000;
const text = new TextDecoder();
const encode = (piece: string) => new TextEncoder().encode(piece);
const log = createLog({
	level: 'error', program: 'test', host: 'test', zone: 'test', incarnation: 1,
});

type Host = {
	claims: Claims;
	port: number;
	/** Ends the process without a word. */
	kill: () => Promise<void>;
	/** Starts a new process in the slot, at the same address; its memory began `ageMs` ago. */
	replace: (ageMs: number) => Promise<void>;
};

/** Entries of a fleet in one process, over real sockets, that all began long ago. */
async function startFleet(context: TestContext, count = 8): Promise<Host[]> {
	const slots = Array.from({length: count}, (_, i) => ({id: `host-${i}`, zone: `zone-${i % 4}`}));
	const statuses = new Map<string, HostStatus>();
	const view = {accepted: {config: {hosts: slots}}, hosts: statuses} as unknown as FleetView;
	let incarnation = 0;

	async function start(slot: {id: string; zone: string}, ageMs: number, port: number) {
		const own = ++incarnation;
		const hello = (): PeerHello => ({
			host: slot.id, zone: slot.zone, role: 'entry', incarnation: own,
		});
		let address = '';
		let offset = -ageMs;
		const claims = createClaims({
			hello, toAddress: () => address, toView: () => view, clock: {now: () => performance.now(), wallNow: () => Date.now() + offset}, random: Math.random, log,
		});
		offset = 0;
		const peers = await listenPeers({
			bind: '127.0.0.1', port, hello, onCall: claims.onCall, onEvent: claims.onEvent,
		});
		address = `127.0.0.1:${peers.port}`;
		statuses.set(slot.id, {
			id: slot.id, zone: slot.zone, life: 'alive', incarnation: own, entryAddress: address, agentAddress: '', leaving: false,
		});
		const ticker = setInterval(claims.tick, 100);
		const kill = async () => {
			clearInterval(ticker);
			claims.close();
			await peers.close();
		};

		return {claims, kill, port: peers.port};
	}

	const hosts = await Promise.all(slots.map(async slot => {
		const host: Host = {
			...await start(slot, hour, 0),
			async replace(ageMs) {
				Object.assign(host, await start(slot, ageMs, host.port));
			},
		};
		return host;
	}));
	context.after(async () => {
		await Promise.all(hosts.map(async host => host.kill()));
	});
	return hosts;
}

function toRequest(extra: Partial<KeyedRequest> = {}): KeyedRequest {
	return {
		workspace: 'glossworks', key: v7(), digest: 'digest', isRepeatable: false, ...extra,
	};
}

async function readAll(reader: RunReader): Promise<string> {
	let whole = '';
	for (;;) {
		const part = await reader.next();
		if (part.kind === 'bytes') {
			whole += text.decode(part.bytes);
		} else if (part.kind !== 'head') {
			return `${whole}|${part.kind === 'end' ? part.end : part.kind}`;
		}
	}
}

async function runAt({claims}: Host, request: KeyedRequest) {
	const claimed = await claims.claim(request);
	assert.ok(claimed.kind === 'run', `expected to run, got ${JSON.stringify(claimed)}`);
	return claimed;
}

async function refusedAt({claims}: Host, request: KeyedRequest) {
	const claimed = await claims.claim(request);
	assert.ok(claimed.kind === 'refused', `expected a refusal, got ${claimed.kind}`);
	return claimed.problem;
}

async function joinedAt({claims}: Host, request: KeyedRequest): Promise<string> {
	const claimed = await claims.claim(request);
	assert.ok(claimed.kind === 'join', `expected to join, got ${JSON.stringify(claimed)}`);
	return readAll(claimed.reader);
}

function createExchange(): {exchange: CallerExchange; sent: string[]; leave: () => void} {
	const sent: string[] = [];
	const gone = new AbortController();
	const exchange = {
		requestId: 'r',
		gone: gone.signal,
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
		exchange, sent, leave() {
			gone.abort();
		},
	};
}

describe('createClaims', {timeout: 60_000}, () => {
	it('runs a key sent to every host at once on one of them, and gives all the same answer in turn', async context => {
		const hosts = await startFleet(context);
		const request = toRequest();
		const claimed = await Promise.all(hosts.map(async ({claims}) => claims.claim(request)));
		const runs = claimed.filter(one => one.kind === 'run');
		assert.equal(runs.length, 1);
		assert.equal(claimed.filter(one => one.kind === 'join').length, hosts.length - 1);
		const answers = claimed.map(async one => one.kind === 'refused' ? 'refused' : readAll(one.reader));
		runs[0]!.writer.writeHead(200, {});
		runs[0]!.writer.write(encode('scene'));
		runs[0]!.writer.end('complete', performance.now());
		const ends = await Promise.all(answers);
		assert.equal(ends.filter(end => end === 'scene|complete').length, 1);
		assert.equal(ends.filter(end => end.endsWith('|taken-over')).length, hosts.length - 1);
		assert.equal(await joinedAt(hosts[5]!, request), 'scene|complete');
	});

	it('gives a retry on another host the run from its first byte, and refuses another body', async context => {
		const hosts = await startFleet(context);
		const request = toRequest();
		const {writer, reader} = await runAt(hosts[0]!, request);
		writer.write(encode('first '));
		const retried = joinedAt(hosts[1]!, request);
		assert.match(await readAll(reader), /taken-over$/v);
		writer.write(encode('second'));
		writer.end('complete', performance.now());
		assert.equal(await retried, 'first second|complete');
		const misused = await refusedAt(hosts[2]!, {...request, digest: 'other'});
		assert.deepEqual([misused.kind, misused.outcome], ['key-reused', 'not-run']);
	});

	it('lets a key that did not run be claimed by another host', async context => {
		const hosts = await startFleet(context);
		const request = toRequest();
		const first = await runAt(hosts[0]!, request);
		first.writer.end('retryable', performance.now());
		await runAt(hosts[1]!, request);
	});

	it('does not run work again whose host was killed, unless it is repeatable', async context => {
		const hosts = await startFleet(context);
		const once = toRequest();
		const repeatable = toRequest({isRepeatable: true});
		await runAt(hosts[0]!, once);
		await runAt(hosts[0]!, repeatable);
		await hosts[0]!.kill();
		const problem = await refusedAt(hosts[1]!, once);
		assert.deepEqual([problem.kind, problem.outcome], ['claim-unavailable', 'may-have-run']);
		await runAt(hosts[1]!, repeatable);
		await hosts[0]!.replace(0);
		for (const host of [hosts[0]!, hosts[3]!]) {
			const afterwards = await refusedAt(host, once);
			assert.equal(afterwards.outcome, 'may-have-run');
		}
	});

	it('claims with a zone and one host away and refuses with one host more', async context => {
		const hosts = await startFleet(context);
		await hosts[0]!.kill();
		await hosts[4]!.kill();
		await hosts[3]!.kill();
		await runAt(hosts[1]!, toRequest());
		await hosts[2]!.kill();
		const problem = await refusedAt(hosts[1]!, toRequest());
		assert.deepEqual([problem.kind, problem.outcome], ['claim-unavailable', 'may-have-run']);
		await runAt(hosts[1]!, toRequest({isRepeatable: true}));
	});

	it('costs no claim when hosts are restarted gracefully, and makes up for it when they are not', async context => {
		const hosts = await startFleet(context);
		const request = toRequest();
		const {writer} = await runAt(hosts[7]!, request);
		writer.end('complete', performance.now());
		for (const host of hosts.slice(0, 4)) {
			assert.equal(await host.claims.leave(), true);
			await host.kill();
			await host.replace(0);
			assert.equal(await host.claims.takeOver(), true);
			assert.equal(await host.claims.takeOver(), false);
		}

		assert.equal(await joinedAt(hosts[0]!, request), '|complete');
		await runAt(hosts[5]!, toRequest());
		for (const host of hosts.slice(0, 4)) {
			await host.kill();
			await host.replace(0);
		}

		const problem = await refusedAt(hosts[5]!, toRequest());
		assert.match(problem.detail, /new key/v);
	});
});

describe('serveKeyed', {timeout: 60_000}, () => {
	async function serve(host: Host, request: KeyedRequest, exchange: CallerExchange, work: (recorded: CallerExchange) => Promise<KeyedVerdict>, onJoinEnded?: ServeKeyedOptions['onJoinEnded']) { // eslint-disable-line max-params -- a helper of these tests
		await serveKeyed(host.claims, exchange, request, {
			writeTimeoutMs: 1000, now: () => performance.now(), serve: work, onJoinEnded,
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

	it('tells the work when its caller has gone and nobody came back', async context => {
		const hosts = await startFleet(context);
		const {exchange, leave} = createExchange();
		let hasEnded = false;
		await serve(hosts[0]!, toRequest(), exchange, async recorded => {
			const gone = new Promise(resolve => {
				recorded.gone.addEventListener('abort', resolve);
			});
			leave();
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
		it(`tells that a call joined an answer of ${status} as ${kind}, with the host that ran it`, async context => {
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

			await serve(hosts[0]!, request, createExchange().exchange, work, note);
			assert.deepEqual(told, [], 'the first call joins nothing');
			await serve(hosts[1]!, request, createExchange().exchange, work, note);
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
	];
	for (const {name, pieces, isTold} of cuts) {
		it(`${isTold ? 'says so in a stream of events' : 'cuts a stream of events off'} that another connection takes over ${name}`, async context => {
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
			});
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
