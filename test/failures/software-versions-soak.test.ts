/** Relays as processes under signals and restarts in series, beside a release and its rollback, from a seed. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createRandom} from '../../src/domain/_test/create-random.js';
import {startRelayProcesses, type RelayProcesses, type VersionedServer} from '../stand-ins/users-platform/start-relay-processes.js';
import {followStream, isOneStream, type FollowedStream} from './_lib/follow-stream.js';

const hostCount = 5;
const soakMs = 9000;
const streamsPerSecond = 16;
const faultEveryMs = 700;
const releaseEveryMs = 1200;
const serverOptions = {events: 16, workMs: 60};
/** Time of a stopping process until it ends, and of a killed one until it is started again. */
const stopMs = 5000;
const downMs = 300;

/** Seeds; more are given as `SOAK_SEEDS=1,2,3`. */
const seeds = (process.env.SOAK_SEEDS ?? '1').split(',').map(Number);

type Soak = {processes: RelayProcesses; random: () => number; endsAt: number};

const isOver = ({endsAt}: Soak): boolean => performance.now() >= endsAt;

/** Kills or stops hosts, two at a time at most, and starts them again. */
async function disturbHosts(soak: Soak): Promise<void> {
	const {processes, random} = soak;
	const down = new Set<number>();
	const pending: Array<Promise<void>> = [];

	async function restart(host: number, isKilled: boolean): Promise<void> {
		await (isKilled ? processes.kill(host) : processes.hosts()[host]!.stop(stopMs * 2));

		await sleep(downMs);
		await processes.restart(host);
		down.delete(host);
	}

	while (!isOver(soak)) {
		const host = Math.floor(random() * hostCount);
		if (!down.has(host) && down.size < 2) {
			down.add(host);
			pending.push(restart(host, random() < 0.7));
		}

		await sleep(faultEveryMs);
	}

	await Promise.all(pending);
}

/** Replaces servers of the old version by new ones, and then the other way round; every third one ends without a word. */
async function release(soak: Soak, servers: VersionedServer[]): Promise<void> {
	const {processes} = soak;
	for (let i = 0; !isOver(soak); i++) {
		const isRollback = performance.now() > soak.endsAt - (soakMs / 2);
		const [from, to] = isRollback ? ['v2', 'v1'] : ['v1', 'v2'];
		const old = servers.find(({version}) => version === from);
		const isLast = servers.filter(({version}) => version === from).length <= 1;
		if (old !== undefined && !isLast) {
			servers.splice(servers.indexOf(old), 1);
			servers.push(await processes.startServer(`decode-${to}-${i}`, to, serverOptions));
			if (i % 3 !== 2) {
				processes.publish(old, {state: 'draining'});
				await sleep(releaseEveryMs / 2);
			}

			await processes.loseServer(old);
		}

		await sleep(releaseEveryMs);
	}
}

async function callSteadily(soak: Soak): Promise<FollowedStream[]> {
	const {processes, random} = soak;
	const following: Array<Promise<FollowedStream>> = [];
	while (!isOver(soak)) {
		const hosts = Array.from({length: 4}, () => Math.floor(random() * hostCount));
		following.push(followStream(processes.ask, {requestId: `soak-${following.length}`, hosts, pauseMs: 100 + (random() * 400)}));
		await sleep(1000 / streamsPerSecond);
	}

	return Promise.all(following);
}

// Guards against streams of two software versions that show only when kills, planned stops, restarts, losses of servers and releases overlap.
describe('streams through hosts that are killed and restarted during a release and its rollback', {timeout: 60_000 * (1 + seeds.length)}, () => {
	for (const seed of seeds) {
		it(`are never joined, and go on, seed ${seed}`, async context => {
			const processes = await startRelayProcesses({hosts: hostCount});
			context.after(async () => processes.stop());
			await processes.startServer('prefill1', 'v1', serverOptions);
			await processes.startServer('prefill2', 'v2', serverOptions);
			const servers = await Promise.all([1, 2, 3, 4, 5].map(async i => processes.startServer(`decode${i}`, 'v1', serverOptions)));
			await processes.waitForServers();
			const soak: Soak = {processes, random: createRandom(seed), endsAt: performance.now() + soakMs};
			const [followed] = await Promise.all([callSteadily(soak), disturbHosts(soak), release(soak, servers)]);
			const joined = followed.filter(({events}) => !isOneStream(events));
			const resumed = followed.filter(({events, statuses}) => events.length > 0 && statuses.length > 1);
			const wentOn = resumed.filter(({isWhole}) => isWhole);
			context.diagnostic(`${followed.length} streams, ${resumed.length} taken up again, ${wentOn.length} of them whole; ${joined.length} joined`);
			assert.deepEqual(joined.map(({events}) => events.map(({id, version}) => `${id} ${version}`).join(', ')), []);
			assert.ok(wentOn.length * 2 >= resumed.length, `${wentOn.length} of ${resumed.length} went on`);
		});
	}
});
