/** Servers that state how many requests a second they take from all hosts together. */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type ServerStandIn} from '../stand-ins/users-platform/server.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type Answer, type RelayCall, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

const hosts = 3;

/** Period over which a server's requests are counted. */
const periodMs = 4000;

/** Time after the first answer that states the limit until all hosts keep it. */
const settleMs = 1500;

/** Requests that a server may get within a period. */
const toMostRequests = (perSecond: number): number => (1.5 * perSecond * periodMs / 1000) + 5;

/** Requests that it gets at least while there is work. */
const toLeastRequests = (perSecond: number): number => 0.9 * perSecond * periodMs / 1000;

let fixture: RelayFixture;

/** Sends a request every so often, to the hosts in turn, for some time, and returns the answers. */
async function askFor(forMs: number, everyMs: number, toCall: (n: number) => RelayCall): Promise<Answer[]> {
	const asked: Array<Promise<Answer>> = [];
	const until = performance.now() + forMs;
	for (let n = 0; performance.now() < until; n++) {
		asked.push(fixture.ask({...toCall(n), at: n % hosts}));
		await sleep(everyMs);
	}

	return Promise.all(asked);
}

const toLookup = (n: number): RelayCall => ({path: `/lookup/${n}`, body: `lookup ${n}`});
const toStream = (n: number): RelayCall => ({path: `/summary/${n}`, body: `stream ${n}`, headers: toStreamHeaders()});

/** Counts what reaches a server while it is asked for. */
async function countWhile(server: ServerStandIn, ask: () => Promise<Answer[]>): Promise<{count: number; answers: Answer[]}> {
	const before = server.arrivals.length;
	const answers = await ask();
	return {count: server.arrivals.length - before, answers};
}

const isServed = ({status}: Answer): boolean => status === 200;

// Guards against a server in need that gets more requests than it takes, because each host sends what it likes.
describe('relay: a server states how many requests a second it takes', () => {
	afterEach(async () => fixture.stop());

	it('gets no more than that from all hosts together, and no less; others serve the rest', async () => {
		fixture = await startRelayFixture({hosts});
		const {desk1} = fixture.servers;
		desk1.setRequestLimit('2.5');
		await askFor(settleMs, 40, toLookup);
		const {count, answers} = await countWhile(desk1, async () => askFor(periodMs, 40, toLookup));
		assert.ok(count <= toMostRequests(2.5), `${count} requests`);
		assert.ok(count >= toLeastRequests(2.5), `${count} requests`);
		assert.ok(answers.every(answer => isServed(answer)));
	});

	it('gets no more than that with reservations, prompts and runs counted', async () => {
		fixture = await startRelayFixture({hosts});
		const {decode1, prefill1} = fixture.servers;
		for (const server of [decode1, prefill1]) {
			server.setRequestLimit('2');
		}

		await askFor(settleMs, 100, toStream);
		const before = prefill1.arrivals.length;
		const {count, answers} = await countWhile(decode1, async () => askFor(periodMs, 100, toStream));
		const prompts = prefill1.arrivals.length - before;
		assert.ok(count <= toMostRequests(2), `${count} at the decode server`);
		assert.ok(prompts <= toMostRequests(2), `${prompts} at the prefill server`);
		assert.ok(answers.every(answer => isServed(answer)));
	});

	it('gets its part again once its answers state no limit', async () => {
		fixture = await startRelayFixture({hosts});
		const {desk1} = fixture.servers;
		desk1.setRequestLimit('1');
		await askFor(settleMs, 40, toLookup);
		desk1.setRequestLimit(undefined);
		await askFor(3000, 40, toLookup);
		const {count} = await countWhile(desk1, async () => askFor(periodMs, 40, toLookup));
		assert.ok(count > toMostRequests(1), `${count} requests`);
	});

	it('is not called by a host that was told by another one alone', async () => {
		fixture = await startRelayFixture({hosts});
		const {desk1} = fixture.servers;
		desk1.setRequestLimit('0.1');
		await askFor(1000, 40, n => ({...toLookup(n), at: 0}));
		await waitUntil(() => new Set(fixture.logs().filter(({message}) => message === 'server limits its requests').map(({host}) => host)).size === hosts, {deadlineMs, what: 'all hosts to know the limit'});
		const {count} = await countWhile(desk1, async () => askFor(periodMs, 40, toLookup));
		assert.ok(count <= toMostRequests(0.1), `${count} requests`);
	});

	it('leaves callers with a refusal at once when it is the only server', async () => {
		fixture = await startRelayFixture({hosts});
		const {desk1, desk2} = fixture.servers;
		for (const server of [desk1, desk2]) {
			server.setRequestLimit('1');
		}

		await askFor(settleMs, 40, toLookup);
		const answers = await askFor(periodMs, 40, toLookup);
		const refused = answers.filter(({status}) => status === 503);
		assert.ok(refused.length > answers.length / 2, `${refused.length} of ${answers.length} refused`);
		assert.ok(answers.every(({status}) => status === 200 || status === 503));
		assert.ok(refused.every(({headers, tookMs}) => headers['retry-after'] !== undefined && tookMs < 1000));
		assert.ok(refused.every(({body}) => body.includes('limit')), 'the refusal does not name its cause');
	});
});
