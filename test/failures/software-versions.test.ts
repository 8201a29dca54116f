/** Servers of two software versions side by side in one pool, and streams that break meanwhile. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startRelayProcesses, type RelayProcesses, type VersionedServer} from '../stand-ins/users-platform/start-relay-processes.js';
import {
	followStream, isOneStream, toHeldEvents, type FollowedStream,
} from './_lib/follow-stream.js';

const streams = 24;
const events = 12;
const workMs = 50;
/** Time after which all streams have some events and none has all. */
const midStreamMs = 400;

/** Share of the streams that go on in the least favourable case that is promised: half of that of new streams, of which all begin here. */
const minShare = 0.5;

let processes: RelayProcesses;

async function startFleet(hosts: number): Promise<Record<'old' | 'next', VersionedServer[]>> {
	processes = await startRelayProcesses({hosts});
	const options = {events, workMs};
	await processes.startServer('prefill1', 'v1', options);
	await processes.startServer('prefill2', 'v2', options);
	const old = await Promise.all(['decode1', 'decode2', 'decode3'].map(async id => processes.startServer(id, 'v1', options)));
	const next = await Promise.all(['decode4', 'decode5', 'decode6'].map(async id => processes.startServer(id, 'v2', options)));
	await processes.waitForServers();
	return {old, next};
}

/** Lists the streams that hold events of several runs, as the versions of their events. */
const toJoined = (followed: readonly FollowedStream[]): string[] =>
	followed.filter(held => !isOneStream(held.events)).map(held => held.events.map(({id, version}) => `${id} ${version}`).join(', '));

/** Lists what the hosts logged of the requests whose streams are not whole. */
function describeBroken(followed: readonly FollowedStream[]): string {
	const broken = new Set(followed.filter(({isWhole}) => !isWhole).map(({requestId}) => requestId));
	const lines = processes.logs().filter(({requestId}) => broken.has(String(requestId).replace(/-\d+$/v, '')));
	return lines.map(({time, host, requestId, message, attempt, kind, reason, server}) => [time, host, requestId, message, attempt, kind, reason, server].join(' ')).join('\n');
}

const toShare = (followed: readonly FollowedStream[]): number => followed.filter(({isWhole}) => isWhole).length / followed.length;

// Guards against a stream that a host takes up again, within one answer, at a server of another software version.
describe('a stream whose server is lost', {timeout: 120_000}, () => {
	let servers: Record<'old' | 'next', VersionedServer[]>;
	before(async () => {
		servers = await startFleet(1);
	});
	after(async () => processes.stop());

	const askAll = async (name: string): Promise<FollowedStream[]> => Promise.all(Array.from({length: streams}, async (_, i) => followStream(processes.ask, {requestId: `${name}-${i}`, hosts: [0]})));

	it('goes on at another server of its software version', async () => {
		const asked = askAll('one');
		await sleep(midStreamMs);
		await processes.loseServer(servers.old[0]!);
		const followed = await asked;
		assert.deepEqual(toJoined(followed), []);
		assert.ok(followed.every(({isWhole}) => isWhole), describeBroken(followed));
	});

	it('is broken for its caller if no other server of its software version is left', async () => {
		const asked = askAll('last');
		await sleep(midStreamMs);
		await Promise.all(servers.old.slice(1).map(async server => processes.loseServer(server)));
		const followed = await asked;
		assert.deepEqual(toJoined(followed), []);
		assert.ok(followed.filter(held => held.events[0]?.version === 'v2').every(({isWhole}) => isWhole));
	});
});

// Guards against a stream that its caller takes up at another host, which sends it to a server of another software version.
describe('a caller whose host is killed', {timeout: 120_000}, () => {
	before(async () => {
		await startFleet(4);
	});
	after(async () => processes.stop());

	it('goes on at another host, at a server of the software version that began the stream', async () => {
		const asked = Promise.all(Array.from({length: streams}, async (_, i) => followStream(processes.ask, {requestId: `killed-${i}`, hosts: [0, 1 + (i % 3), 1 + ((i + 1) % 3)]})));
		await sleep(midStreamMs);
		await processes.kill(0);
		const followed = await asked;
		await processes.restart(0);
		await processes.waitForServers();
		assert.deepEqual(toJoined(followed), []);
		assert.ok(toShare(followed) >= minShare, `share ${toShare(followed)}`);
	});

	it('is not run where nobody knows the version that began the stream', async () => {
		const answers = await Promise.all(Array.from({length: streams}, async (_, i) => processes.ask({
			path: '/notice/1', body: 'prompt', at: i % 4, headers: {
				model: 'm', 'token-count': '3000,2000', 'request-id': `unknown-${i}`, 'deadline-ms': '14000', resumes: `nobody-${i}`, 'last-event-id': '3',
			},
		})));
		assert.deepEqual(answers.filter(({status}) => status !== 503).map(({status}) => status), []);
		assert.deepEqual(answers.flatMap(({body}) => toHeldEvents(body)), []);
	});
});
