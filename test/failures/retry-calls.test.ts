/** Calls that further attempts send to the servers of a pool, and their cost to the retry budget. */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type ServerFault} from '../stand-ins/users-platform/apply-server-fault.js';
import {type Arrival} from '../stand-ins/users-platform/server.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type RelayCall, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

let fixture: RelayFixture;

type Case = {
	name: string;
	asked: RelayCall;
	/** Faults of the servers that get the first calls, in order. */
	misdeeds: Partial<Record<'desk1' | 'prefill1' | 'decode1', ServerFault[]>>;
	/** Number of calls that the servers get beyond the first. */
	extra: number;
	retrySlack?: number;
};

const stream: RelayCall = {path: '/notice/1', body: 'a notice', headers: toStreamHeaders()};
const lookup: RelayCall = {path: '/check/1', body: 'a check'};

const cases: Case[] = [
	{
		name: 'a plain call is refused', asked: lookup, misdeeds: {desk1: ['refuse']}, extra: 1,
	},
	{
		name: 'a plain call breaks', asked: lookup, misdeeds: {desk1: ['reset']}, extra: 1,
	},
	{
		name: 'a prompt is refused', asked: stream, misdeeds: {prefill1: ['refuse']}, extra: 1,
	},
	{
		name: 'two prompts are refused', asked: stream, misdeeds: {prefill1: ['refuse', 'refuse']}, extra: 2,
	},
	{
		name: 'a computed prompt is lost', asked: stream, misdeeds: {prefill1: ['reset']}, extra: 1,
	},
	{
		name: 'a run is refused, and its prompt computed anew', asked: stream, misdeeds: {decode1: ['refuse']}, extra: 2,
	},
	{
		name: 'a run breaks before its answer, and its prompt is computed anew', asked: stream, misdeeds: {decode1: ['reset']}, extra: 2,
	},
	{
		name: 'a stream breaks and goes on elsewhere, with its prompt computed anew', asked: stream, misdeeds: {decode1: ['cut-stream']}, extra: 2,
	},
	{
		name: 'a prompt is refused, then a run', asked: stream, misdeeds: {prefill1: ['refuse'], decode1: ['refuse']}, extra: 3,
	},
	{
		name: 'a run is refused, and the budget holds one call', asked: stream, misdeeds: {decode1: ['refuse']}, extra: 1, retrySlack: 20,
	},
	{
		name: 'a stream breaks, and the budget holds one call', asked: stream, misdeeds: {decode1: ['cut-stream']}, extra: 1, retrySlack: 20,
	},
];

/** Counts the calls beyond the first attempt: every refused prompt (these come first), and of the other prompts and of the runs all but the first. */
function countExtra(arrivals: readonly Arrival[], refusedPrompts: number): number {
	const prompts = arrivals.filter(({step}) => step === 'prefill').length;
	const runs = arrivals.filter(({step}) => step === 'decode' || step === 'whole').length;
	return refusedPrompts + Math.max(0, prompts - refusedPrompts - 1) + runs - 1;
}

/*
 * Guards against a service that gets more retries than the retry budgets of all
 * hosts allow, because an attempt sends more calls than the budget is charged for.
 */
describe('relay: a further attempt is charged for each call that it sends', () => {
	afterEach(async () => fixture.stop());

	for (const {name, asked, misdeeds, extra, retrySlack = 400} of cases) {
		it(`when ${name}`, async () => {
			fixture = await startRelayFixture({retrySlack});
			for (const [server, list] of Object.entries(misdeeds)) {
				fixture.servers[server as 'desk1'].addFaults(...list);
			}

			const {status, isWhole} = await fixture.ask(asked);
			assert.deepEqual({status, isWhole}, {status: 200, isWhole: true});
			const arrivals = Object.values(fixture.servers).flatMap(server => server.arrivals);
			const refusedPrompts = misdeeds.prefill1?.filter(misdeed => misdeed === 'refuse').length ?? 0;
			assert.equal(countExtra(arrivals, refusedPrompts), extra, 'the scenario did not cause the expected number of further calls');
			const decided = await waitUntil(() => {
				const lines = fixture.logs().filter(({message}) => message === 'retry decided');
				return lines.length > 0 && lines;
			}, {deadlineMs, what: 'a retry decision in the log'});
			const cost = decided.reduce((sum, line) => sum + Number(line.cost), 0);
			assert.equal(cost, extra);
			assert.ok(decided.every(({reason}) => reason === 'granted'));
		});
	}

	it('and is not made by a process that just started, as its predecessor may have spent the budget', async () => {
		fixture = await startRelayFixture({retryWindow: '10m'});
		fixture.servers.desk1.addFaults('refuse');
		const {status} = await fixture.ask(lookup);
		assert.equal(status, 503);
		const arrivals = Object.values(fixture.servers).flatMap(server => server.arrivals);
		assert.equal(arrivals.length, 1);
		const decided = await waitUntil(() => fixture.logs().find(({message}) => message === 'retry decided'), {deadlineMs, what: 'the retry decision in the log'});
		assert.equal(decided.reason, 'budget');
	});
});
