/** Hosts that lose their links to every server of a pool, while callers and other hosts still reach them. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	deadlineMs, startRelayFixture, toStreamHeaders, type RelayFixture,
} from '../stand-ins/users-platform/start-relay-fixture.js';
import {followStream, isOneStream} from './_lib/follow-stream.js';

/** Time after which the loss must not show any more. */
const noticeMs = 3000;
const asked = 40;
/** Time for which a server stays full; requests to it are tried again many times meanwhile. */
const waitMs = 700;
/** Runs that break, shared with the requests that keep the hosts busy. */
const brokenRuns = 12;

describe('a host that has lost its links to all servers of a pool', {timeout: 120_000}, () => {
	let fixture: RelayFixture;
	/** Ends the requests that keep all hosts busy. */
	const ended = new AbortController();
	let busy: Promise<unknown>;
	let nextId = 0;
	before(async () => {
		fixture = await startRelayFixture({hosts: 3, hasLinks: true});
		busy = Promise.all([0, 1, 2].map(async at => {
			while (!ended.signal.aborted) {
				await fixture.ask({path: '/check/1', at, headers: {'deadline-ms': '1000'}});
				await fixture.ask({
					path: '/summary/1', body: 'prompt', at, headers: toStreamHeaders(),
				});
				await sleep(50);
			}
		}));
	});
	after(async () => {
		ended.abort();
		await busy;
		await fixture.stop();
	});

	/** Sends lookups, which may run once at most, to one host, and returns their ids and statuses. */
	async function askLookups(at: number): Promise<ReadonlyArray<{id: string; status: number; seal: unknown}>> {
		const answers = [];
		for (let i = 0; i < asked; i++) {
			const id = `lookup-${++nextId}`;
			const {status, headers} = await fixture.ask({at, headers: {'request-id': id, 'deadline-ms': '1000'}});
			answers.push({id, status, seal: headers['server-seal']});
		}

		return answers;
	}

	const countPassed = (): number => fixture.logs().filter(({message}) => message === 'passed on').length;

	const countRuns = (id: string): number => [fixture.servers.desk1, fixture.servers.desk2].flatMap(server => server.runs()).filter(({headers}) => headers['request-id'] === id).length;

	it('serves requests for which two servers refuse connections, before the loss is known', async () => {
		await fixture.askUntil({at: 0}, 200);
		await fixture.cutLinks(0);
		const answers = await Promise.all(Array.from({length: 5}, async () => fixture.ask({at: 0, headers: {'deadline-ms': '1000'}})));
		assert.deepEqual(answers.map(({status}) => status), [200, 200, 200, 200, 200]);
	});

	it('serves streams for which two decode servers refuse connections', async () => {
		const {status, body, isWhole} = await fixture.ask({
			path: '/summary/1', body: 'prompt', at: 0, headers: toStreamHeaders({'request-id': 'stream-1'}),
		});
		assert.equal(status, 200);
		assert.match(body, /piece 3 of stream-1\n\n$/v);
		assert.ok(isWhole);
	});

	// Guards against a host that goes on taking requests which it can't send to any server.
	it('serves requests at the first attempt, each of them run once, while other hosts reach the servers', async () => {
		await sleep(noticeMs);
		const answers = await askLookups(0);
		assert.deepEqual(answers.filter(({status}) => status !== 200), []);
		for (const {id, seal} of answers) {
			assert.equal(countRuns(id), 1);
			assert.match(String(seal), /^seal-of-desk/v);
		}
	});

	// Guards against work that runs twice: the other host's server has had the request.
	it('runs no request again that broke at a server of the other host', async () => {
		fixture.servers.desk1.addFaults(...Array.from({length: brokenRuns}, () => 'reset' as const));
		const answers = await askLookups(0);
		const broken = answers.filter(({status}) => status !== 200);
		assert.deepEqual(broken.filter(({status}) => status !== 502), []);
		assert.ok(broken.length > 0);
		assert.ok(answers.every(({id}) => countRuns(id) <= 1));
	});

	it('calls the servers itself within a second after the links are back', async () => {
		await fixture.healLinks(0);
		await waitUntil(() => fixture.logs().some(({message}) => message === 'servers of the pool can be reached again'), {deadlineMs, what: 'the links'});
		const passedBefore = countPassed();
		const answers = await askLookups(0);
		assert.deepEqual(answers.filter(({status}) => status !== 200), []);
		assert.equal(countPassed(), passedBefore);
	});

	it('passes no request on a second time', async () => {
		await Promise.all([0, 1].map(async host => fixture.cutLinks(host)));
		await sleep(noticeMs);
		const answers = await askLookups(0);
		assert.deepEqual(answers.filter(({status}) => status !== 200), []);
		const passed = fixture.logs().filter(({message}) => message === 'passed on');
		for (const {requestId} of passed) {
			const hosts = passed.filter(line => line.requestId === requestId).map(({host}) => host);
			assert.equal(new Set(hosts).size, 1, String(requestId));
		}

		await Promise.all([0, 1].map(async host => fixture.healLinks(host)));
	});

	it('refuses at once as not run if no host reaches the servers', async () => {
		await Promise.all([0, 1, 2].map(async host => fixture.cutLinks(host)));
		await sleep(noticeMs);
		const {status, headers, tookMs} = await fixture.ask({at: 0, headers: {'deadline-ms': '5000'}});
		assert.equal(status, 503);
		assert.notEqual(headers['retry-after'], undefined);
		assert.ok(tookMs < 2500, `${tookMs} ms`);
	});
});

// Guards against requests that are handed from host to host, and refused, instead of waiting for a server that is full.
describe('a host that reaches a full server, and two other servers not at all', {timeout: 60_000}, () => {
	it('lets its requests wait', async context => {
		const fixture = await startRelayFixture({hosts: 2});
		context.after(async () => fixture.stop());
		const ask = async (at: number, id: string) => fixture.ask({
			path: '/summary/1', body: 'prompt', at, headers: toStreamHeaders({'request-id': id}),
		});
		const {decode1, decode2} = fixture.servers;
		const lost = ['decode1', 'decode3'];
		for (const id of lost) {
			fixture.publishServer({...decode1, id}, {address: '127.0.0.1:1'});
		}

		await waitUntil(() => fixture.knownServers(0).has('decode3') && fixture.knownServers(1).has('decode3'), {deadlineMs, what: 'the addresses in force'});
		await ask(1, 'before');
		decode2.setFreeTokens(0);
		const asking = ask(0, 'waiting');
		await sleep(waitMs);
		decode2.setFreeTokens(Infinity);
		const answer = await asking;
		assert.equal(answer.status, 200);
		assert.deepEqual(fixture.logs().filter(({message}) => message === 'passed on'), []);
	});
});

/** Streams that are under way when their host loses its links. */
const streams = 16;
const midStreamMs = 300;
/** Pause after which a caller comes back. */
const returnMs = 1000;

// Guards against a stream whose host has lost its links, and which another host continues at a server of another software version.
describe('streams of a host that loses its links, beside servers of two software versions', {timeout: 120_000}, () => {
	let fixture: RelayFixture;
	/** Ends the requests that show which hosts reach the servers. */
	const ended = new AbortController();
	let busy: Promise<unknown>;
	before(async () => {
		fixture = await startRelayFixture({
			hosts: 2, hasLinks: true, events: 12, workMs: 60, versions: {decode2: 'v2'},
		});
		busy = Promise.all([0, 1].map(async at => {
			while (!ended.signal.aborted) {
				await fixture.ask({path: '/summary/1', at, headers: toStreamHeaders()});
			}
		}));
	});
	after(async () => {
		ended.abort();
		await busy;
		await fixture.stop();
	});

	it('go on through another host at the version that began them, when their callers come back', async () => {
		const asked = Promise.all(Array.from({length: streams}, async (_, i) => followStream(fixture.ask, {requestId: `cut-${i}`, hosts: [0, 0, 0, 0], pauseMs: returnMs})));
		await sleep(midStreamMs);
		await fixture.cutLinks(0);
		const followed = await asked;
		assert.deepEqual(followed.filter(held => !isOneStream(held.events)).map(({events}) => events), []);
		assert.ok(followed.filter(({isWhole}) => isWhole).length >= streams / 2);
		assert.ok(fixture.logs().some(({message}) => message === 'passed on'));
	});
});
