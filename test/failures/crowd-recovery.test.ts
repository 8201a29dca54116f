/** Hosts as processes that come back into a crowd of callers, each of whom leaves after a while and comes back. */
import assert from 'node:assert/strict';
import {describe, it, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startRelayProcesses, type RelayProcesses} from '../stand-ins/users-platform/start-relay-processes.js';
import {findBuild} from './_lib/find-build.js';

const hostCount = 2;

/** Requests a second that come anew, for each host; its processor serves about 75. */
const perSecond = 50;

/** Time after which a caller leaves that has no answer. */
const patienceMs = 1000;

const maxAttempts = 4;

/** Time until a caller comes back whose host does not listen or refused it. */
const comeBackMs = 300;

const standstillMs = 4000;

/** Time after the hosts' return in which requests are counted. */
const countedFromMs = 10_000;
const countedMs = 5000;

const slowRequests = new URL('../_lib/slow-requests/index.js', import.meta.url).href;

type Tally = {asked: number; served: number};

type Crowd = {
	/** Counts the requests that callers first send from now on. */
	countAnew: () => Tally;
	stop: () => Promise<void>;
};

function startCrowd(processes: RelayProcesses): Crowd {
	const stopping = new AbortController();
	const callers: Array<Promise<void>> = [];
	let tally: Tally = {asked: 0, served: 0};
	let created = 0;

	async function ask(at: number, id: string): Promise<boolean> {
		try {
			const {status} = await processes.ask({
				path: '/lookup/1', at, headers: {'request-id': id, 'deadline-ms': '4000'}, leaveAfterMs: patienceMs,
			});
			return status === 200;
		} catch {
			return false;
		}
	}

	async function call(): Promise<void> {
		const counted = tally;
		const id = `caller-${++created}`;
		counted.asked++;
		for (let attempt = 0; attempt < maxAttempts && !stopping.signal.aborted; attempt++) {
			if (await ask((created + attempt) % hostCount, `${id}-${attempt}`)) {
				counted.served++;
				return;
			}

			await sleep(Math.random() * comeBackMs);
		}
	}

	async function send(): Promise<void> {
		while (!stopping.signal.aborted) {
			callers.push(call());
			await sleep(1000 / (perSecond * hostCount));
		}
	}

	const sending = send();
	return {
		countAnew() {
			tally = {asked: 0, served: 0};
			return tally;
		},
		async stop() {
			stopping.abort();
			await sending;
			await Promise.all(callers);
		},
	};
}

type Absence = (processes: RelayProcesses) => Promise<void>;

const toNumbers = (): readonly number[] => Array.from({length: hostCount}, (_, host) => host);

/** Ways in which all hosts are away for a time. */
const absences: Readonly<Record<string, Absence>> = {
	async 'stood still'(processes) {
		for (const host of processes.hosts()) {
			host.pause();
		}

		await sleep(standstillMs);
		for (const host of processes.hosts()) {
			host.resume();
		}
	},
	async 'were killed'(processes) {
		await Promise.all(toNumbers().map(async host => processes.kill(host)));
		await sleep(standstillMs);
		await Promise.all(toNumbers().map(async host => processes.restart(host)));
	},
};

async function playAbsence(t: TestContext, beAway: Absence): Promise<void> {
	const processes = await startRelayProcesses({hosts: hostCount, build: findBuild, nodeOptions: ['--import', slowRequests]});
	t.after(async () => processes.stop());
	const servers = await Promise.all(['desk1', 'desk2'].map(async id => processes.startServer(id, 'v1', {workMs: 15})));
	await processes.waitForServers();
	const crowd = startCrowd(processes);
	await sleep(patienceMs);
	await beAway(processes);
	await sleep(countedFromMs);
	const runsBefore = servers.flatMap(server => server.runs()).length;
	const counted = crowd.countAnew();
	await sleep(countedMs);
	crowd.countAnew();
	const runs = servers.flatMap(server => server.runs()).slice(runsBefore);
	const forNobody = runs.filter(({isLeft}) => isLeft).length;
	await crowd.stop();
	t.diagnostic(`${counted.served} of ${counted.asked} served, 10 to 15 s after the return; ${forNobody} of ${runs.length} runs for nobody`);
	assert.ok(counted.served >= counted.asked / 4, `${counted.served} of ${counted.asked} served`);
	assert.ok(forNobody <= runs.length / 4, `${forNobody} of ${runs.length} runs for nobody`);
}

// Guards against hosts that never catch up with a crowd, because they work for callers who have left.
describe('slow hosts that come back at once into a crowd', {timeout: 120_000}, () => {
	for (const [what, beAway] of Object.entries(absences)) {
		it(`serve again after they ${what}`, async t => {
			await playAbsence(t, beAway);
		});
	}
});
