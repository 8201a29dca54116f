/** Faults of servers and callers, as seen by callers of the relay. */
import assert from 'node:assert/strict';
import {
	after, afterEach, before, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createDeferred} from '../../src/_lib/create-deferred/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type ServerFault} from '../stand-ins/users-platform/apply-server-fault.js';
import {type ServerStandIn} from '../stand-ins/users-platform/server.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type Answer, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

let fixture: RelayFixture;

const toStream = (headers: Record<string, string> = {}) => ({path: '/summary/1', body: 'prompt', headers: toStreamHeaders(headers)});

/*
 * Decode memory is scarce, or a model server breaks an attempt off. Guards against
 * prompts that are computed in vain, which takes prefill time from other requests,
 * and against memory that stays reserved for requests that have ended, which keeps
 * others out.
 */
describe('relay: model servers are full or break off', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture();
	});
	afterEach(async () => fixture.stop());

	const waitUntilNothingHeld = async () => waitUntil(
		() => fixture.servers.decode1.reservations() + fixture.servers.decode2.reservations() + fixture.caches.size === 0,
		{deadlineMs, what: 'all reservations and caches to be released'},
	);

	it('asks the other decode server when one is full', async () => {
		const {servers, ask} = fixture;
		servers.decode1.setFreeTokens(0);
		const answer = await ask(toStream());
		assert.equal(answer.status, 200);
		assert.equal(servers.decode2.runs().length, 1);
	});

	it('lets a new request wait while it can still meet its deadline, and computes no prompt before decode memory is reserved', async () => {
		const {servers, ask} = fixture;
		servers.decode1.setFreeTokens(0);
		servers.decode2.setFreeTokens(0);
		const asking = ask(toStream());
		await waitUntil(() => servers.decode1.arrivals.length > 0 && servers.decode2.arrivals.length > 0, {deadlineMs, what: 'both servers to be asked'});
		assert.equal(servers.prefill1.arrivals.length + servers.prefill2.arrivals.length, 0);
		servers.decode1.setFreeTokens(40_000);
		const answer = await asking;
		assert.equal(answer.status, 200);
	});

	it('refuses a request that can\'t meet its deadline, with Retry-After', async () => {
		const {servers, ask} = fixture;
		servers.decode1.setFreeTokens(0);
		servers.decode2.setFreeTokens(0);
		const fresh = await ask(toStream());
		assert.equal(fresh.status, 503);
		assert.ok(fresh.tookMs < 5000, `${fresh.tookMs}`);
		assert.ok(Number(fresh.headers['retry-after']) >= 3, String(fresh.headers['retry-after']));
		const back = await ask(toStream({'deadline-ms': '9000'}));
		assert.equal(back.status, 503);
		assert.equal(servers.prefill1.arrivals.length + servers.prefill2.arrivals.length, 0);
	});

	/*
	 * Guards against requests that end as a fault of the program because their
	 * remaining time has a fraction of a millisecond: timeouts of Node accept whole
	 * milliseconds only.
	 */
	it('serves callers whose remaining time has a fraction of a millisecond', async () => {
		const {ask, logs} = fixture;
		const answers = await Promise.all(['290.4', '900.7', '1400.2'].map(async time => ask(toStream({'deadline-ms': time}))));
		assert.deepEqual(answers.map(({status}) => status), [200, 200, 200]);
		assert.ok(!logs().some(({message}) => message === 'request broken off by a fault of the program'));
	});

	/*
	 * Guards against waiting for a lost answer to a prompt until the reservation
	 * expires: the request would always be late, although servers need only a tenth of
	 * that time.
	 */
	it('asks another server long before the reservation expires when a prompt gets no answer', async () => {
		const {servers, ask, logs} = fixture;
		servers.prefill1.addFaults('silent');
		const answer = await ask(toStream());
		assert.equal(answer.status, 200, answer.body);
		const failed = logs().find(({message}) => message === 'attempt failed');
		const [, limitMs] = /within (\d+) ms/v.exec(String(failed?.reason)) ?? [];
		assert.ok(Number(limitMs) <= 750, String(failed?.reason));
	});

	it('releases the reservation and tries another server when the prompt is refused', async () => {
		const {servers, ask} = fixture;
		servers.prefill1.addFaults('refuse', 'refuse', 'refuse');
		const answers = await Promise.all(Array.from({length: 4}, async () => ask(toStream())));
		assert.ok(answers.some(({status}) => status === 200));
		assert.ok(answers.every(({status}) => status === 200 || status === 503), String(answers.map(({status}) => status)));
		await waitUntilNothingHeld();
	});

	it('serves without a prefill server: a decode server computes the prompt in its reserved memory', async () => {
		const {servers, ask, store, logs} = fixture;
		store.remove('servers/prefill1');
		store.remove('servers/prefill2');
		await waitUntil(() => logs().filter(line => line.state === 'gone').length === 2, {deadlineMs, what: 'the relay to log that both prefill servers are gone'});
		const answer = await ask(toStream());
		assert.equal(answer.status, 200);
		const [run] = [...servers.decode1.runs(), ...servers.decode2.runs()];
		assert.deepEqual([run?.step, run?.headers['kv-source']], ['decode', undefined]);
		await waitUntilNothingHeld();
	});

	it('frees the cache when the decode server refuses after the prompt was computed', async () => {
		const {servers, ask} = fixture;
		servers.decode1.addFaults('refuse');
		const answer = await ask(toStream());
		assert.ok([200, 503].includes(answer.status), String(answer.status));
		await waitUntilNothingHeld();
	});

	it('computes the prompt once when the reserved decode server was replaced meanwhile', async () => {
		const {servers, ask, logs} = fixture;
		servers.decode1.addFaults('wrong-instance');
		const answer = await ask(toStream());
		assert.equal(answer.status, 200);
		assert.equal([...servers.prefill1.arrivals, ...servers.prefill2.arrivals].filter(({step}) => step === 'prefill').length, 1);
		assert.equal(servers.decode1.runs().length + servers.decode2.runs().length, 2);
		assert.equal(logs().filter(({message}) => message === 'prompt cache reused').length, 1);
		await waitUntilNothingHeld();
	});

	it('releases all that it holds when the caller disconnects', async () => {
		await fixture.stop();
		fixture = await startRelayFixture({workMs: 400});
		const {servers, ask} = fixture;
		await ask({...toStream(), leaveAfterMs: 200});
		await waitUntilNothingHeld();
		assert.equal(servers.decode1.runs().length + servers.decode2.runs().length, 0);
	});

	it('continues a resumable stream at the other server, after the last complete event', async () => {
		const {servers, ask} = fixture;
		servers.decode1.addFaults('cut-stream');
		const answer = await ask({...toStream({'request-id': 'notice-1'}), path: '/notice/1'});
		assert.equal(answer.status, 200);
		assert.ok(answer.isWhole);
		assert.equal(answer.body, [1, 2, 3].map(event => `id: ${event}\ndata: piece ${event} of notice-1\n\n`).join(''));
		const runs = [...servers.decode1.runs(), ...servers.decode2.runs()];
		assert.deepEqual(new Set(runs.map(({headers}) => headers['last-event-id'])), new Set(['2', undefined]));
		await waitUntilNothingHeld();
	});

	it('breaks off a stream that no server can continue', async () => {
		const {servers, ask} = fixture;
		servers.decode1.addFaults('cut-stream', 'refuse');
		const answer = await ask({...toStream(), path: '/notice/1'});
		assert.equal(answer.status, 200);
		assert.ok(!answer.isWhole);
		await waitUntilNothingHeld();
	});

	it('breaks off the caller\'s answer when the server\'s stream broke and can\'t be resumed', async () => {
		const {servers, ask} = fixture;
		servers.decode1.addFaults('cut-stream');
		const answer = await ask(toStream());
		assert.equal(answer.status, 200);
		assert.ok(!answer.isWhole);
	});
});

/*
 * Guards against a timeout that is logged without its time and cause. When prompts
 * take long, the predicted time of one, and the timeout of three times that, are
 * rarely whole milliseconds. Two timers of one call that differ by the fraction race,
 * and if the wrong one fires first, the log names neither.
 */
describe('relay: prompts are slow', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture({workMs: 230, events: 1});
	});
	afterEach(async () => fixture.stop());

	it('logs the timeout of each prompt that got no answer', async () => {
		const {servers, ask, logs} = fixture;
		const countUnansweredPrompts = () => [...servers.prefill1.arrivals, ...servers.prefill2.arrivals].filter(({step, isLeft}) => step === 'prefill' && isLeft).length;
		await Promise.all([ask(toStream()), ask(toStream())]);
		// While both prefill servers are in cooldown, a decode server computes the prompt, so not every request reaches a silent server.
		for (let asked = 0; countUnansweredPrompts() < 6 && asked < 20; asked++) {
			servers.prefill1.addFaults('silent');
			const answer = await ask(toStream());
			assert.equal(answer.status, 200, answer.body);
		}

		assert.ok(countUnansweredPrompts() >= 6, String(countUnansweredPrompts()));
		const reasons = logs().filter(({message}) => message === 'attempt failed').map(({reason}) => String(reason));
		assert.equal(reasons.length, countUnansweredPrompts());
		assert.deepEqual(reasons.filter(reason => !/within \d+ ms/v.test(reason)), []);
	});
});

/*
 * Guards against a stream that breaks because it was sent to a server already known
 * to be leaving. The decode server is chosen before the prompt is computed, which may
 * take 1.5 s, and a leaving server serves for only 2 s more, so its state has to be
 * checked again before the request is sent there. The test waits until the relay has
 * logged the change before the prompt is ready, and counts the runs that arrive at the
 * stand-in.
 */
describe('relay: the chosen decode server leaves while the prompt is computed', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture();
	});
	afterEach(async () => fixture.stop());

	const hasStep = (server: ServerStandIn, wanted: string) => server.arrivals.some(({step}) => step === wanted);

	/** Sends a request, and delays its prompt until the relay knows that the chosen decode server is leaving. */
	async function askWhileLeaving(leave: (chosen: ServerStandIn) => void): Promise<{answer: Answer; chosen: ServerStandIn}> {
		const {servers, ask, logs} = fixture;
		const leavingKnown = createDeferred();
		servers.prefill1.delayPrefillsUntil(leavingKnown.promise);
		servers.prefill2.delayPrefillsUntil(leavingKnown.promise);
		const asking = ask(toStream());
		await waitUntil(() => hasStep(servers.prefill1, 'prefill') || hasStep(servers.prefill2, 'prefill'), {deadlineMs, what: 'a prefill server to compute the prompt', everyMs: 5});
		const chosen = hasStep(servers.decode1, 'reserve') ? servers.decode1 : servers.decode2;
		leave(chosen);
		await waitUntil(() => logs().some(({server, state}) => server === chosen.id && (state === 'leaving' || state === 'gone')), {
			deadlineMs, what: 'the relay to log that the chosen server is leaving or gone', everyMs: 5,
		});
		leavingKnown.resolve();
		return {answer: await asking, chosen};
	}

	const cases: ReadonlyArray<{name: string; leave: (chosen: ServerStandIn) => void}> = [
		{
			name: 'the platform lists it as draining', leave(chosen) {
				fixture.publishServer(chosen, {state: 'draining'});
			},
		},
		{
			name: 'the platform no longer lists it', leave({id}) {
				fixture.store.remove(`servers/${id}`);
			},
		},
	];
	for (const {name, leave} of cases) {
		it(`sends the request to the other decode server: ${name}`, async () => {
			// A watch that is already waiting reports a change at once; right after another change it would report late.
			await sleep(1000);
			const {answer, chosen} = await askWhileLeaving(leave);
			assert.equal(answer.status, 200, answer.body);
			assert.equal(chosen.runs().length, 0, 'the request was sent to a server that was known to be leaving');
			await waitUntil(() => chosen.reservations() === 0 && fixture.caches.size === 0, {deadlineMs, what: 'the reservation and the first prompt to be released'});
		});
	}
});
