/** Faults of servers of plain services, as seen by callers of the relay. */
import assert from 'node:assert/strict';
import {
	after, afterEach, before, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type ServerFault} from '../stand-ins/users-platform/apply-server-fault.js';
import {
	deadlineMs, startRelayFixture, type Answer, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

let fixture: RelayFixture;

/*
 * Guards against a wrong status when a server of the desk refuses, fails, or breaks
 * off a request. Callers rely on the status alone: 503 says that nothing ran and the
 * request may be sent again, 502 leaves open whether it ran, and an answer with the
 * server's seal is the server's own. A wrong status makes a lookup run twice, or
 * be given up needlessly.
 */
describe('relay: a server of a plain service misbehaves', () => {
	before(async () => {
		fixture = await startRelayFixture();
	});
	after(async () => fixture.stop());

	const cases: ReadonlyArray<{name: string; path: string; misdeeds: ServerFault[]; status: number; runs: number; isSealed?: boolean; hasRetryAfter?: boolean}> = [
		{
			name: 'refuses a lookup, and another one serves it', path: '/lookup/', misdeeds: ['refuse'], status: 200, runs: 2, isSealed: true,
		},
		{
			name: 'refuses a lookup, and another one fails it', path: '/lookup/', misdeeds: ['refuse', 'fail'], status: 500, runs: 2, isSealed: true,
		},
		{
			name: 'fails a check, another one refuses it, and a third call is served', path: '/check/', misdeeds: ['fail', 'refuse'], status: 200, runs: 3, isSealed: true,
		},
		{
			name: 'refuses a check, and both others fail it', path: '/check/', misdeeds: ['refuse', 'fail', 'fail'], status: 500, runs: 3, isSealed: true,
		},
		{
			name: 'refuses a check, and another one serves it', path: '/check/', misdeeds: ['refuse'], status: 200, runs: 2, isSealed: true,
		},
		{
			name: 'fails a lookup', path: '/lookup/', misdeeds: ['fail'], status: 500, runs: 1, isSealed: true,
		},
		{
			name: 'fails a check, and another one serves it', path: '/check/', misdeeds: ['fail'], status: 200, runs: 2, isSealed: true,
		},
		{
			name: 'resets the connection of a lookup', path: '/lookup/', misdeeds: ['reset'], status: 502, runs: 1,
		},
		{
			name: 'resets the connection of a check', path: '/check/', misdeeds: ['reset'], status: 200, runs: 2, isSealed: true,
		},
		{
			name: 'answers a lookup with another\'s answer', path: '/lookup/', misdeeds: ['answer-another'], status: 502, runs: 1,
		},
		{
			name: 'answers a check with another\'s answer', path: '/check/', misdeeds: ['answer-another'], status: 200, runs: 2, isSealed: true,
		},
		{
			name: 'is replaced by another one at the same address, and another one serves the lookup', path: '/lookup/', misdeeds: ['wrong-instance'], status: 200, runs: 2, isSealed: true,
		},
	];
	for (const {name, path, misdeeds, status, runs, isSealed = false, hasRetryAfter = false} of cases) {
		it(`${name}: ${status}`, async () => {
			const {servers, ask} = fixture;
			const before = servers.desk1.runs().length + servers.desk2.runs().length;
			// Wait until hosts no longer avoid a server because of the previous test.
			await sleep(100);
			servers.desk1.addFaults(...misdeeds);
			const answer = await ask({path});
			assert.equal(answer.status, status);
			assert.equal(servers.desk1.runs().length + servers.desk2.runs().length - before, runs);
			assert.equal(answer.headers['server-seal'] !== undefined, isSealed);
			assert.equal(answer.headers['retry-after'] !== undefined, hasRetryAfter);
		});
	}

	it('fails a check at both servers: the second one\'s own answer is passed on', async () => {
		const {servers, ask} = fixture;
		servers.desk1.addFaults('fail', 'fail');
		const answer = await ask({path: '/check/'});
		assert.equal(answer.status, 500);
		assert.match(String(answer.headers['server-seal']), /^seal-of-desk/v);
	});

	it('breaks off an answer without a length: the caller gets no whole answer', async () => {
		const {servers, ask} = fixture;
		servers.desk1.addFaults('cut-unframed');
		const answer: Answer = await ask({path: '/lookup/'});
		assert.ok(answer.status !== 200 || !answer.isWhole, `${answer.status} ${answer.body}`);
	});

	it('is silent: the caller gets its final answer at its deadline, and the call to the server is ended', async () => {
		const {servers, ask} = fixture;
		servers.desk1.addFaults('silent');
		const answer = await ask({path: '/lookup/', headers: {'deadline-ms': '400'}});
		assert.equal(answer.status, 504);
		assert.ok(answer.tookMs >= 390, `${answer.tookMs}`);
		await waitUntil(() => [...servers.desk1.runs(), ...servers.desk2.runs()].some(({isLeft}) => isLeft), {deadlineMs, what: 'a server to see that its call was ended'});
	});
});

// Guards against a lookup that is given up, or called on and on, when every server of its service is full.
describe('relay: every server of a plain service is full', () => {
	beforeEach(async () => {
		fixture = await startRelayFixture();
	});
	afterEach(async () => fixture.stop());

	it('refuses a lookup with 503 after a call to each server and at most one more', async () => {
		const {servers, ask} = fixture;
		const before = [servers.desk1.runs().length, servers.desk2.runs().length] as const;
		await sleep(100);
		servers.desk1.addFaults('refuse', 'refuse', 'refuse');
		const answer = await ask({path: '/lookup/'});
		servers.desk1.clearFaults();
		const calls = [servers.desk1.runs().length - before[0], servers.desk2.runs().length - before[1]];
		assert.equal(answer.status, 503);
		assert.equal(answer.headers['server-seal'], undefined);
		assert.ok(Number(answer.headers['retry-after']) > 0);
		// A third call follows if the random backoff lasts longer than the first server counts as full.
		assert.ok(Math.min(...calls) === 1 && Math.max(...calls) <= 2, `${calls.join(', ')} calls`);
	});

	it('serves a lookup at a server that is free again after the backoff', async () => {
		const {servers, ask} = fixture;
		let answer: Answer | undefined;
		for (let round = 0; round < 40 && answer?.status !== 200; round++) {
			await sleep(100);
			servers.desk1.addFaults('refuse', 'refuse');
			answer = await ask({path: '/lookup/'});
			servers.desk1.clearFaults();
		}

		assert.equal(answer?.status, 200);
		assert.match(String(answer?.headers['server-seal']), /^seal-of-desk/v);
	});
});
