/** Servers that end in different ways while they run a request, which is sent again. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type ServerFault} from '../stand-ins/users-platform/apply-server-fault.js';
import {type ServerEnd} from '../stand-ins/users-platform/end-server.js';
import {type ServerStandIn} from '../stand-ins/users-platform/server.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type RelayCall, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';
import {countCrashes, crashServers, publishRestarts} from './_lib/crash-servers.js';

const hosts = 2;

/** Time for which callers wait, so that a silent server does not hold up the test. */
const waitMs = 700;

/** Time within which all hosts must know that a request ends servers. */
const spreadMs = 3000;

let fixture: RelayFixture;

const allServers = (): ServerStandIn[] => Object.values(fixture.servers);

const countCalls = (wanted: string): number => allServers().flatMap(({arrivals}) => arrivals).filter(({body}) => body === wanted).length;

/** Creates a stream whose prompt shares no part with others, so that only the request itself can be quarantined. */
const toStream = (body: string): RelayCall => ({path: '/summary/9', body, headers: toStreamHeaders({'prompt-prefix': 'own:3000', 'deadline-ms': String(waitMs)})});

const toLookup = (body: string): RelayCall => ({path: '/lookup/9', body, headers: {'deadline-ms': String(waitMs)}});

const toQuarantines = () => fixture.logs().filter(({message}) => message === 'request quarantined');

/** Sets how servers end when they run the request with this body; without a way they serve it. */
function setEnd(body: string, end?: ServerEnd): void {
	for (const server of allServers()) {
		server.crashOn(arrival => end !== undefined && arrival.body === body, end);
	}
}

async function endServers(asked: RelayCall, count: number): Promise<void> {
	await crashServers(fixture, asked, {crashes: countCrashes(fixture) + count, hosts});
}

/** Checks that the request, which has ended three servers, is refused by each host and sent nowhere. */
async function checkQuarantine(asked: RelayCall, quarantinesBefore: number): Promise<void> {
	await waitUntil(() => new Set(toQuarantines().slice(quarantinesBefore).map(({host}) => host)).size === hosts, {deadlineMs: spreadMs, what: 'each host to quarantine the request'});
	const callsBefore = countCalls(asked.body!);
	const answers = [];
	for (let at = 0; at < hosts; at++) {
		answers.push(await fixture.ask({...asked, at}));
	}

	assert.equal(countCalls(asked.body!), callsBefore, 'the request was sent to a server again');
	assert.deepEqual(answers.map(({status}) => status), [503, 503]);
}

async function checkEnd(asked: RelayCall, end: ServerEnd): Promise<void> {
	const before = toQuarantines().length;
	setEnd(asked.body!, end);
	await endServers(asked, 3);
	await checkQuarantine(asked, before);
}

const streamEnds = [
	'closes',
	'silent',
	'once-left',
	'closes in half a head',
	'resets in half a head',
	'closes in a body with a length',
	'resets in a body with a length',
	'closes in chunks',
	'resets in chunks',
	'falls silent in chunks',
	'closes in last chunks',
	'resets in last chunks',
	'falls silent in last chunks',
	'closes without a length',
	'resets without a length',
	'falls silent without a length',
] as const satisfies readonly ServerEnd[];
const lookupEnds = ['silent', 'once-left', 'resets in last chunks', 'closes without a length', 'resets without a length'] as const satisfies readonly ServerEnd[];

// Guards against a request that goes on ending servers, because some of their ends are not counted.
describe('relay: a request that has ended three servers is sent to no other', () => {
	before(async () => {
		fixture = await startRelayFixture({hosts});
	});
	after(async () => fixture.stop());

	for (const end of streamEnds) {
		it(`of a pool of model servers: ${end}`, async () => {
			await checkEnd(toStream(`stream, ${end}`), end);
		});
	}

	for (const end of lookupEnds) {
		it(`of a plain service: ${end}`, async () => {
			await checkEnd(toLookup(`lookup, ${end}`), end);
		});
	}

	it('of a pool of model servers: callers leave before it ends', async () => {
		await checkEnd({...toStream('left'), leaveAfterMs: 250}, 'once-left');
	});
});

// Guards against a request whose crashes are forgotten because of an answer that does not show that a server survived it.
describe('relay: an answer that proves nothing does not clear a request', () => {
	before(async () => {
		fixture = await startRelayFixture({hosts});
	});
	after(async () => fixture.stop());

	it('of a server that fails', async () => {
		const asked = toLookup('fails between');
		setEnd(asked.body!, 'closes');
		await endServers(asked, 2);
		setEnd(asked.body!);
		fixture.servers.desk1.addFaults('fail', 'fail');
		for (let at = 0; at < hosts; at++) {
			const {status} = await fixture.ask({...asked, at});
			assert.equal(status, 500);
		}

		setEnd(asked.body!, 'closes');
		await endServers(asked, 1);
		await checkQuarantine(asked, 0);
	});
});

// Guards against a request that is refused although no server ended under it.
describe('relay: a request is served again after calls that ended without an answer', () => {
	before(async () => {
		fixture = await startRelayFixture({hosts, workMs: 100});
	});
	after(async () => fixture.stop());

	/** Sends a request three times to servers that live on, and checks that it is served then. */
	async function checkServed(asked: RelayCall, {fault, replace = async () => undefined}: {fault?: ServerFault; replace?: () => Promise<unknown>}): Promise<void> {
		for (let n = 0; n < 3; n++) {
			if (fault !== undefined) {
				fixture.servers.desk1.addFaults(fault);
			}

			await fixture.ask({...asked, at: n % hosts});
			await replace();
		}

		fixture.servers.desk1.clearFaults();
		const answer = await fixture.askUntil({...asked, headers: {...asked.headers, 'deadline-ms': '14000'}, leaveAfterMs: undefined}, 200);
		assert.ok(answer.isWhole);
		assert.deepEqual(toQuarantines(), []);
	}

	for (const fault of ['silent', 'cut-unframed', 'reset', 'answer-another'] as const) {
		it(`of servers that are well: ${fault}`, async () => {
			await checkServed(toLookup(`well, ${fault}`), {fault});
		});
	}

	it('of callers that leave while their servers work', async () => {
		await checkServed({...toStream('left'), leaveAfterMs: 150}, {});
	});

	it('of servers that left as planned soon after', async () => {
		const {desk1, desk2} = fixture.servers;
		const countLeaving = () => fixture.logs().filter(({message, state}) => message === 'server changed' && state === 'leaving').length;
		await checkServed(toLookup('planned'), {
			fault: 'silent',
			async replace() {
				const leftBefore = countLeaving();
				for (const desk of [desk1, desk2]) {
					fixture.publishServer(desk, {state: 'draining'});
				}

				await waitUntil(() => countLeaving() === leftBefore + (2 * hosts), {deadlineMs, what: 'the hosts to know that the servers leave'});
				for (const desk of [desk1, desk2]) {
					desk.id = `${desk.id}-next`;
				}

				await publishRestarts(fixture, hosts);
			},
		});
	});
});
