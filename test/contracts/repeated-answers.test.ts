/** Properties of callers' answers while servers send answers once more, where the next answer on the connection is expected. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import fc from 'fast-check';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type ServerStep} from '../stand-ins/users-platform/to-server-step.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type Answer, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

const callsPerRun = 60;
const gapMs = 4;
const events = 3;
/** Of each ten calls, the first ones find no room for reservations. */
const callsWithoutRoom = 4;
/** Share of the answers that are sent once more; each costs one caller its answer at most. */
const repeatedShare = 0.15;
const statusesNotRun: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Answers that are repeated: which ones, whether servers refuse some calls meanwhile, and another share where there are few. */
const kinds: ReadonlyArray<{what: string; isOf: (step: ServerStep, status: number) => boolean; refuses?: boolean; share?: number}> = [
	{what: 'a run', isOf: (step, status) => status === 200 && (step === 'whole' || step === 'decode')},
	{what: 'a prefill', isOf: step => step === 'prefill'},
	{what: 'a reservation', isOf: (step, status) => status === 200 && step === 'reserve'},
	{
		what: 'a release', isOf: step => step === 'release' || step === 'drop-cache', refuses: true, share: 1,
	},
	{what: 'a refused request or reservation', isOf: (_, status) => status === 503, refuses: true},
	{what: 'any', isOf: () => true, refuses: true},
];

let fixture: RelayFixture;
let callCount = 0;

const toServers = (): Array<RelayFixture['servers']['desk1']> => Object.values(fixture.servers);

async function sendOne(): Promise<{requestId: string; isStream: boolean; isResumable: boolean; answer: Answer}> {
	const requestId = `call-${++callCount}`;
	const isStream = callCount % 3 > 0;
	const isResumable = isStream && callCount % 2 > 0;
	const asked = isStream
		? {path: isResumable ? '/notice/1' : '/summary/1', headers: toStreamHeaders({'request-id': requestId})}
		: {path: '/lookup/1', headers: {'request-id': requestId, 'deadline-ms': '4000'}};
	const answer = await fixture.ask({...asked, body: `body of ${requestId}`});
	return {
		requestId, isStream, isResumable, answer,
	};
}

const toStream = (requestId: string): string => Array.from({length: events}, (_, i) => `id: ${i + 1}\ndata: piece ${i + 1} of ${requestId}\n\n`).join('');

/** Asserts that the caller got its own answer or a failure, that a refusal as not run is true, and that a request which may run once did not run more often. */
function assertOwnAnswer({requestId, isStream, isResumable, answer}: Awaited<ReturnType<typeof sendOne>>, runs: readonly string[]): void {
	const runCount = runs.filter(id => id === requestId).length;
	const details = JSON.stringify({requestId, runCount, answer});
	if (answer.status >= 200 && answer.status < 300) {
		assert.ok(answer.headers['server-seal'] !== undefined, details);
		assert.equal(answer.headers['request-id'], requestId, details);
		assert.ok(!answer.isWhole || (isStream ? answer.body === toStream(requestId) : answer.body.includes(`body of ${requestId}`)), details);
	}

	assert.ok(!statusesNotRun.has(answer.status) || runCount === 0, details);
	assert.ok(isResumable || runCount <= 1, details);
}

async function sendCalls(refuses: boolean): Promise<Array<Awaited<ReturnType<typeof sendOne>>>> {
	const sent = [];
	for (let n = 0; n < callsPerRun; n++) {
		const {desk1, decode1, decode2} = fixture.servers;
		for (const server of refuses ? [decode1, decode2] : []) {
			server.setFreeTokens(n % 10 < callsWithoutRoom ? 0 : Infinity);
		}

		if (refuses && n % 5 === 0) {
			desk1.addFaults('refuse', 'refuse-unnamed');
			decode1.addFaults('refuse', 'refuse-unnamed');
		}

		sent.push(sendOne());
		await sleep(gapMs);
	}

	return Promise.all(sent);
}

// Guards against a caller that gets the answer to another call, or a refusal as not run although its request has run.
describe('answers that a server sends once more', {timeout: 240_000}, () => {
	before(async () => {
		fixture = await startRelayFixture({workMs: 4, controlMs: 20, events});
	});
	after(async () => fixture.stop());

	for (const {
		what, isOf, refuses = false, share = repeatedShare,
	} of kinds) {
		it(`reach no other caller: the answer to ${what}`, async t => {
			const repeatedBefore = toServers().reduce((sum, server) => sum + server.repeatedAnswers(), 0);
			await fc.assert(fc.asyncProperty(fc.infiniteStream(fc.double({min: 0, max: 1, noNaN: true})), async draws => {
				for (const server of toServers()) {
					server.repeatAnswers((step, status) => isOf(step, status) && draws.next().value! <= share);
				}

				const sent = await sendCalls(refuses);
				const runs = toServers().flatMap(server => server.runs()).filter(({isRun}) => isRun).map(({headers}) => String(headers['request-id']));
				for (const one of sent) {
					assertOwnAnswer(one, runs);
				}

				for (const server of toServers()) {
					server.repeatAnswers(() => false);
				}

				await fixture.askUntil({path: '/lookup/1'}, 200);
				await fixture.askUntil({path: '/notice/1', headers: toStreamHeaders()}, 200);
			}), {numRuns: 4, endOnFailure: true});
			const repeated = toServers().reduce((sum, server) => sum + server.repeatedAnswers(), 0) - repeatedBefore;
			t.diagnostic(`${repeated} answers sent once more`);
			assert.ok(repeated > 0);
		});
	}
});

// Guards against a caller that gets a failure, or its request run twice, because its server's refusal does not name it.
describe('refusals that name no request', {timeout: 60_000}, () => {
	before(async () => {
		fixture = await startRelayFixture();
	});
	after(async () => fixture.stop());

	it('count where a server gets requests alone: another server runs the request', async () => {
		const {desk1, desk2} = fixture.servers;
		desk1.addFaults('refuse-unnamed');
		const {status} = await fixture.ask({path: '/lookup/1'});
		assert.equal(status, 200);
		assert.equal([...desk1.runs(), ...desk2.runs()].filter(({isRun}) => isRun).length, 1);
	});

	it('prove nothing where a server gets reservations too: the caller is not told that its request has not run', async () => {
		fixture.servers.decode1.addFaults('refuse-unnamed');
		const {status} = await fixture.ask({path: '/summary/1', headers: toStreamHeaders()});
		assert.equal(status, 502);
	});
});

// Guards against a request that runs twice, as the copy of a refusal without a name passes for its own.
describe('a refusal that names no request and is sent once more', {timeout: 60_000}, () => {
	before(async () => {
		fixture = await startRelayFixture({workMs: 20});
	});
	after(async () => fixture.stop());

	it('is read by no other request, as its connection is closed', async () => {
		const desks = [fixture.servers.desk1, fixture.servers.desk2];
		for (const desk of desks) {
			desk.repeatAnswers((_, status) => status === 503);
		}

		for (let n = 0; n < 20; n++) {
			desks[0]!.addFaults('refuse-unnamed');
			await fixture.ask({path: '/lookup/1', headers: {'request-id': `refused-${n}`}});
			await Promise.all([1, 2].map(async i => fixture.ask({path: '/lookup/1', headers: {'request-id': `after-${n}-${i}`}})));
			await sleep(30);
		}

		const runs = desks.flatMap(desk => desk.runs()).filter(({isRun}) => isRun).map(({headers}) => String(headers['request-id']));
		assert.deepEqual(runs.filter((id, i) => runs.indexOf(id) !== i), []);
		assert.equal(desks[0]!.repeatedAnswers() + desks[1]!.repeatedAnswers(), 0);
	});
});

// Guards against a sound server that is left out because of what an answer to another call states.
describe('an answer to another request', {timeout: 60_000}, () => {
	before(async () => {
		fixture = await startRelayFixture();
	});
	after(async () => fixture.stop());

	it('says nothing about its server', async () => {
		const desks = [fixture.servers.desk1, fixture.servers.desk2];
		desks[0]!.addFaults('answer-another');
		for (const desk of desks) {
			desk.setLeaving(true);
		}

		const {status} = await fixture.ask({path: '/lookup/1'});
		for (const desk of desks) {
			desk.setLeaving(false);
		}

		assert.equal(status, 502);
		assert.ok(fixture.logs().every(({message}) => message !== 'server says that it leaves'));
	});
});

// Guards against a caller that gets the failure of an earlier try, though a later one at the same server succeeded.
describe('an answer that a server sends once more for the same request', {timeout: 60_000}, () => {
	before(async () => {
		fixture = await startRelayFixture();
	});
	after(async () => fixture.stop());

	it('is not read as that of the next try', async () => {
		fixture.publishRoutes(2, route => ({...route, max_attempts: 4}));
		await waitUntil(() => fixture.logs().some(({message, edition}) => message === 'configuration in force' && edition === 2), {deadlineMs, what: 'the new rules'});
		const {desk1, desk2} = fixture.servers;
		for (const desk of [desk1, desk2]) {
			desk.repeatAnswers((_, status) => status === 500);
		}

		for (let n = 0; n < 10; n++) {
			desk1.addFaults('fail', 'fail');
			const {status, body} = await fixture.ask({path: '/check/1', body: `body ${n}`});
			assert.equal(status, 200);
			assert.ok(body.includes(`body ${n}`));
		}

		assert.ok(desk1.repeatedAnswers() + desk2.repeatedAnswers() > 0);
	});
});
