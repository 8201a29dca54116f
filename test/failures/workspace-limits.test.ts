/** Limits of workspaces, as seen by callers of several relays. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	deadlineMs, startRelayFixture, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

let fixture: RelayFixture;

const hosts = 3;
/** Requests at once; more than the burst of the limited workspace. */
const asked = 60;
const burst = 20;
const perSecond = 2;

const tenants = [
	{
		name: 'limited', api_keys: ['key-1'], unit: 'token_stream', plain_tokens: 100, rate_per_s: 100 * perSecond, burst: 100 * burst,
	},
	{name: 'free', api_keys: ['key-2']},
];

const askAll = async (key: string) => Promise.all(Array.from({length: asked}, async (_, i) => fixture.ask({at: i % hosts, headers: {authorization: `Bearer ${key}`}})));

/*
 * Guards against hosts that each grant the whole limit of a workspace, a refusal
 * that may have run, and a limited workspace that hinders others.
 */
describe('a workspace with a limit, over three hosts', () => {
	before(async () => {
		fixture = await startRelayFixture({hosts});
		fixture.setTenants(tenants);
		fixture.publishRoutes(2);
		await waitUntil(() => fixture.logs().filter(line => line.edition === 2).length >= hosts, {deadlineMs, what: 'the limits in force on all hosts'});
	});
	after(async () => fixture.stop());

	it('gets no more than its limit from all hosts together, and refusals that say when to come back', async () => {
		const startedAt = performance.now();
		const answers = await askAll('key-1');
		const seconds = (performance.now() - startedAt) / 1000;
		const granted = answers.filter(({status}) => status === 200).length;
		const runs = fixture.servers.desk1.runs().length + fixture.servers.desk2.runs().length;
		assert.ok(granted >= 1 && granted <= burst + (perSecond * seconds) + 1, `${granted} granted in ${seconds} s`);
		assert.equal(runs, granted);
		for (const {status, headers} of answers.filter(answer => answer.status !== 200)) {
			assert.equal(status, 429);
			assert.ok(Number(headers['retry-after']) > 0);
		}
	});

	it('leaves workspaces without a limit alone', async () => {
		const answers = await askAll('key-2');
		assert.deepEqual(answers.filter(({status}) => status !== 200).map(({status, body, tookMs}) => `${status} after ${Math.round(tookMs)} ms: ${body}`), []);
	});
});
