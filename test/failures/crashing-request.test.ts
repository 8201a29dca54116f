/** A request that crashes each server that runs it, and is sent again. */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createDeferred} from '../../src/_lib/create-deferred/index.js';
import {openLoadDatagrams} from '../../src/adapters/load-datagrams/index.js';
import {findUdpAddress} from '../_lib/find-udp-address/index.js';
import {waitUntil} from '../_lib/wait-until/index.js';
import {type ServerFault} from '../stand-ins/users-platform/apply-server-fault.js';
import {
	startServerStandIn, type Arrival, type ServerStandIn,
} from '../stand-ins/users-platform/server.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type Answer, type RelayCall, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';
import {countCrashes as countCrashesOf, crashServers as crashServersOf} from './_lib/crash-servers.js';

let fixture: RelayFixture;

const crashing: RelayCall = {path: '/summary/9', body: 'crashing', headers: toStreamHeaders()};
const harmless: RelayCall = {path: '/summary/1', body: 'harmless', headers: toStreamHeaders()};
const crashingLookup: RelayCall = {path: '/lookup/9', body: 'crashing'};

const isCrashing = ({body}: Arrival): boolean => body === 'crashing';

const allServers = (): ServerStandIn[] => Object.values(fixture.servers);

const countCrashes = (): number => countCrashesOf(fixture);

const crashServers = async (asked: RelayCall, wanted: {crashes: number; hosts: number}): Promise<void> => crashServersOf(fixture, asked, wanted);

/** Counts the calls for a request at all servers, including those that compute its prompt, or those of one step only. */
const countCalls = ({body}: RelayCall, step?: Arrival['step']): number =>
	allServers().flatMap(({arrivals}) => arrivals).filter(arrival => arrival.body === body && (step === undefined || arrival.step === step)).length;

const countReservations = (): number => allServers().flatMap(({arrivals}) => arrivals).filter(({step}) => step === 'reserve').length;

async function startFixture(hosts: number): Promise<void> {
	fixture = await startRelayFixture({hosts});
	for (const server of allServers()) {
		server.crashOn(isCrashing);
	}
}

/** Sends a host the message in which another host reports three crashes under a request. */
async function sendCrashReport(address: string, fingerprint: string): Promise<void> {
	const from = await findUdpAddress();
	const other = await openLoadDatagrams({address: from, onMessage: () => undefined, onFault: () => undefined});
	other.send({
		host: 'front-b-9',
		zone: 'b',
		incarnation: 1,
		sequence: 1,
		loads: [],
		peers: [],
		isAsking: false,
		crashes: [{fingerprint, idleMs: 5, crashes: ['x', 'y', 'z'].map(server => ({server, ageMs: 5}))}],
	}, [address]);
	await sleep(50);
	await other.close();
}

/*
 * Guards against a request that crashes each server that runs it, and is run again
 * and again by one host after the other.
 */
describe('relay: a request crashes each server that runs it', () => {
	afterEach(async () => fixture.stop());

	it('has the same fingerprint in the logs of all hosts', async () => {
		await startFixture(2);
		const asked = [{...harmless, at: 0}, {...harmless, at: 1}, {...harmless, path: '/summary/2'}];
		for (const one of asked) {
			await fixture.ask(one);
		}

		const [first, second, other] = fixture.logs().filter(({message}) => message === 'request received').map(({fingerprint}) => fingerprint);
		assert.match(String(first), /^[\w\-]{12}$/v);
		assert.equal(second, first);
		assert.notEqual(other, first);
	});

	it('is sent to no server after three have crashed under it, whichever hosts sent it there', async () => {
		await startFixture(2);
		await crashServers(crashing, {crashes: 3, hosts: 2});
		const callsBefore = countCalls(crashing);
		const answers: Answer[] = [];
		for (let i = 0; i < 4; i++) {
			answers.push(await fixture.ask({...crashing, at: i % 2}));
		}

		assert.equal(countCrashes(), 3);
		assert.equal(countCalls(crashing), callsBefore);
		assert.deepEqual(answers.map(({status}) => status), [503, 503, 503, 503]);
	});

	it('is sent to no server of a plain service either', async () => {
		await startFixture(1);
		await crashServers(crashingLookup, {crashes: 3, hosts: 1});
		const answer = await fixture.ask(crashingLookup);
		assert.equal(answer.status, 503);
		assert.equal(countCrashes(), 3);
	});

	/** Sends the request, and reports its crashes from another host during this step; returns `undefined` if the step exceeded its timeout on a busy machine. */
	async function askDuringCrashReport(step: 'prefill' | 'reserve', n: number): Promise<Answer | undefined> {
		const released = createDeferred();
		for (const server of allServers()) {
			server.delayPrefillsUntil(step === 'prefill' ? released.promise : Promise.resolve());
			server.delayReservationsUntil(step === 'reserve' ? released.promise : Promise.resolve());
		}

		const requestId = `told-${n}`;
		const body = `crashing-${n}`;
		const reservationsBefore = countReservations();
		const asking = fixture.ask({...crashing, body, headers: toStreamHeaders({'request-id': requestId})});
		await waitUntil(() => step === 'prefill' ? countCalls({body}, 'prefill') > 0 : countReservations() > reservationsBefore, {deadlineMs, what: `a server to begin the ${step}`, everyMs: 2});
		const toOwn = (message: string) => fixture.logs().find(line => line.message === message && line.requestId === requestId);
		await sendCrashReport(fixture.peerAddresses[0]!, String(toOwn('request received')?.fingerprint));
		await waitUntil(() => fixture.logs().filter(({message}) => message === 'request quarantined').length > n, {deadlineMs, what: 'the host to log the quarantine', everyMs: 2});
		const isLate = toOwn(step === 'prefill' ? 'attempt failed' : 'no place') !== undefined;
		released.resolve();
		const answer = await asking;
		return isLate ? undefined : answer;
	}

	const steps = [
		{step: 'prefill', spared: 'decode', title: 'is not sent to a decode server when another host reports its crashes while its prompt is computed'},
		{step: 'reserve', spared: 'prefill', title: 'is not sent to a prefill server when another host reports its crashes while its memory is reserved'},
	] as const;
	for (const {step, spared, title} of steps) {
		it(title, async () => {
			await startFixture(2);
			for (let n = 0; n < 10; n++) {
				const answer = await askDuringCrashReport(step, n);
				if (answer !== undefined) {
					assert.equal(answer.status, 503);
					assert.match(answer.body, /quarantined/v);
					assert.equal(countCalls({body: `crashing-${n}`}, spared), 0);
					return;
				}
			}

			assert.fail('in none of 10 tries did the step end within its timeout; the machine is too slow');
		});
	}

	it('is refused at once when other requests have to wait for decode memory', async () => {
		await startFixture(1);
		await crashServers(crashing, {crashes: 3, hosts: 1});
		fixture.servers.decode1.setFreeTokens(0);
		fixture.servers.decode2.setFreeTokens(0);
		const {status} = await fixture.ask({...crashing, headers: {...crashing.headers, 'request-id': 'refused'}});
		assert.equal(status, 503);
		const own = fixture.logs().filter(({requestId}) => requestId === 'refused');
		assert.deepEqual(own.map(({message, reason}) => `${String(message)}: ${String(reason)}`), ['request refused: quarantined'], 'the request was queued instead of refused at once');
	});

	it('is refused while it waits for decode memory, once another host reports its crashes', async () => {
		await startFixture(2);
		const {decode1, decode2} = fixture.servers;
		decode1.setFreeTokens(0);
		decode2.setFreeTokens(0);
		const asking = fixture.ask({...crashing, at: 0});
		await waitUntil(() => decode1.arrivals.length + decode2.arrivals.length > 0, {deadlineMs, what: 'a decode server to be asked for a reservation', everyMs: 2});
		const received = fixture.logs().find(({message}) => message === 'request received');
		await sendCrashReport(fixture.peerAddresses[0]!, String(received?.fingerprint));
		await waitUntil(() => fixture.logs().some(({message}) => message === 'request quarantined'), {deadlineMs, what: 'the host to log the quarantine', everyMs: 2});
		decode1.setFreeTokens(40_000);
		const {status, body} = await asking;
		assert.equal(status, 503);
		assert.match(body, /quarantined/v);
		assert.equal(countCalls(crashing), 0);
	});

	it('does not affect requests that ran beside it: they are served when they are sent again', async () => {
		await startFixture(1);
		await crashServers(crashing, {crashes: 2, hosts: 1});
		const stream = {...harmless, body: 'beside it'};
		const {decode1, decode2} = fixture.servers;
		const asking = fixture.ask(stream);
		const hasBegun = ({arrivals}: ServerStandIn) => arrivals.some(({body, step}) => body === 'beside it' && step === 'decode');
		await waitUntil(() => [decode1, decode2].some(server => hasBegun(server)), {deadlineMs, what: 'the harmless request to run', everyMs: 1});
		await crashServers(crashing, {crashes: 3, hosts: 1});
		await asking;
		const again = await fixture.ask(stream);
		assert.equal(again.status, 200);
		assert.ok(again.isWhole);
	});
});

/*
 * Guards against a request that is quarantined because servers that did not crash
 * broke its answers off.
 */
describe('relay: servers break answers off without crashing', () => {
	afterEach(async () => fixture.stop());

	it('serves a request whose answers broke at as many servers as crashes are allowed', async () => {
		fixture = await startRelayFixture();
		const sharedFaults: ServerFault[] = [];
		const desks = await Promise.all([3, 4, 5, 6].map(async i => startServerStandIn({id: `desk${i}`, sharedFaults})));
		for (const desk of desks) {
			fixture.publishServer(desk);
		}

		for (const {id} of [fixture.servers.desk1, fixture.servers.desk2]) {
			fixture.store.remove(`servers/${id}`);
		}

		await waitUntil(() => fixture.knownServers(0).size === 8 && !fixture.knownServers(0).has('desk1'), {deadlineMs, what: 'the host to know the new desk servers'});
		const broken = new Set<ServerStandIn>();
		while (broken.size < 3) {
			sharedFaults.push('reset');
			await fixture.ask({path: '/lookup/7', body: 'unlucky'});
			const brokenServer = desks.find(({arrivals}) => arrivals.at(-1)?.body === 'unlucky' && arrivals.at(-1)?.isLeft === true)!;
			broken.add(brokenServer);
			const runs = brokenServer.runs().length;
			await waitUntil(async () => {
				await fixture.ask({path: '/lookup/8', body: 'another'});
				return brokenServer.runs().length > runs;
			}, {deadlineMs, what: 'the server to answer another request'});
		}

		const answer = await fixture.ask({path: '/lookup/7', body: 'unlucky'});
		await Promise.all(desks.map(async desk => desk.close()));
		assert.equal(answer.status, 200);
	});
});
