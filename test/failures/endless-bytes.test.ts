/** Servers that send bytes which are no answer until their connection is closed. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {type EndlessFault} from '../stand-ins/users-platform/apply-server-fault.js';
import {
	startRelayFixture, toStreamHeaders, type RelayCall, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';

const calls = 60;

/** The fault is met by one call in so many. */
const callsPerFault = 6;

const gapMs = 25;

/** Time within which an answer is of full worth to its caller. */
const aimMs = 342;

/** Share of the requests that must be answered in time. */
const minShareInTime = 0.95;

let fixture: RelayFixture;

/** Sends calls at a steady pace, some of which meet the fault. */
async function sendCalls(fault: EndlessFault, asked: RelayCall): Promise<Array<Awaited<ReturnType<RelayFixture['ask']>>>> {
	const answers = [];
	for (let n = 0; n < calls; n++) {
		if (n % callsPerFault === 0) {
			fixture.servers.desk1.addFaults(fault);
		}

		answers.push(fixture.ask({...asked, body: `call ${n}`}));
		await sleep(gapMs);
	}

	return Promise.all(answers);
}

// Guards against bytes without end that hold up the call which receives them, and all other requests of the host.
describe('relay: servers that send bytes without end', {timeout: 120_000}, () => {
	before(async () => {
		fixture = await startRelayFixture({workMs: 5});
	});
	after(async () => fixture.stop());

	for (const fault of ['endless-refusal', 'endless-heads'] as const) {
		it(`are not waited for: safe requests are answered by another server in time: ${fault}`, async t => {
			const answers = await sendCalls(fault, {path: '/check/1', headers: {'deadline-ms': '4000'}});
			const tookMs = answers.map(answer => Math.round(answer.tookMs)).toSorted((a, b) => a - b);
			const inTime = answers.filter(answer => answer.status === 200 && answer.isWhole && answer.tookMs <= aimMs).length;
			t.diagnostic(`${answers.filter(({status}) => status === 200).length} of ${calls} answered, ${inTime} in time; median ${tookMs[calls / 2]} ms, longest ${tookMs.at(-1)} ms`);
			assert.ok(answers.every(({status, isWhole}) => status === 200 && isWhole));
			assert.ok(inTime >= minShareInTime * calls);
		});
	}

	for (const fault of ['endless-event', 'endless-chunk-extension'] as const) {
		it(`do not hold up other streams: ${fault}`, async t => {
			const answers = await sendCalls(fault, {path: '/summary/1', headers: toStreamHeaders({'prompt-prefix': 'own:100', 'deadline-ms': '4000'})});
			const whole = answers.filter(({status, isWhole}) => status === 200 && isWhole);
			const tookMs = whole.map(answer => Math.round(answer.tookMs)).toSorted((a, b) => a - b);
			t.diagnostic(`${whole.length} of ${calls} answered; median ${tookMs[Math.floor(whole.length / 2)]} ms, longest ${tookMs.at(-1)} ms`);
			assert.ok(whole.length >= calls - (calls / callsPerFault));
		});
	}
});
