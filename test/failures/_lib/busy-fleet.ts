/**
 * Hosts as processes before model servers that are busy with sound streams, and one
 * request that is sent again and again and ends servers.
 */
import assert from 'node:assert/strict';
import {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ServerEnd} from '../../stand-ins/users-platform/end-server.js';
import {type Answer, type RelayCall} from '../../stand-ins/users-platform/send-call.js';
import {startRelayProcesses, type RelayProcesses, type VersionedServer} from '../../stand-ins/users-platform/start-relay-processes.js';
import {toStreamHeaders} from '../../stand-ins/users-platform/start-relay-fixture.js';
import {findBuild} from './find-build.js';

const defaultHosts = 3;

/** Sound streams that each host serves at a time. */
const streamsPerHost = 3;

/** Time from the end of a server to the removal of its entry. */
const lapseMs = 3500;

/** Time between two looks at the servers. */
const pollMs = 20;

/** Time after the third end from which no host may send the request on. */
export const spreadMs = 3000;

/** Number of ends after which a request must be sent to no further server. */
const endsAllowed = 3;

/** Runs of the culprit that may come later. */
const maxLateRuns = 3;

/** Time after which a caller of a sound request tries again whose host does not listen. */
const reconnectMs = 50;

const culpritBody = 'culprit';

export type Repeats = {call?: Partial<RelayCall>; gapMs: number; forMs: number};

export type BusyFleet = {
	processes: RelayProcesses;
	servers: readonly VersionedServer[];
	/** Sets which runs of the culprit end their server, and how. */
	setEnds: (isFatal: (server: VersionedServer, run: number) => boolean, end: ServerEnd) => void;
	/** Sends the culprit to the hosts in turn for some time, one call each `gapMs`. */
	repeat: (options: Repeats) => Promise<void>;
	/** Sends the culprit once. */
	sendCulprit: (call?: Partial<RelayCall>) => Promise<void>;
	/** What has become of the requests so far. */
	tally: () => {ended: number; lateRuns: number; sound: number; soundServed: number; soundQuarantined: number};
	stop: () => Promise<void>;
};

/**
 * Starts the fleet and its sound traffic. A server that ends is back at once under
 * another id; the entry of the one that ended lapses later.
 *
 * @param hostCount - Number of hosts.
 * @returns The fleet.
 */
export async function startBusyFleet(hostCount = defaultHosts): Promise<BusyFleet> {
	const processes = await startRelayProcesses({hosts: hostCount, build: findBuild});
	const ids = [['prefill1', 'v1'], ['prefill2', 'v1'], ['decode1', 'v1'], ['decode2', 'v1'], ['decode3', 'v2'], ['decode4', 'v2']] as const;
	const servers = await Promise.all(ids.map(async ([id, version]) => processes.startServer(id, version, {workMs: 40, events: 6})));
	await processes.waitForServers();
	const published = new Map(servers.map(server => [server, server.id]));
	const endedAt: number[] = [];
	const stopping = new AbortController();
	let created = 0;
	const sound = {sent: 0, served: 0, quarantined: 0};

	function watchEnds(): void {
		for (const server of servers) {
			const before = published.get(server)!;
			if (before !== server.id) {
				endedAt.push(performance.now());
				published.set(server, server.id);
				processes.publish(server);
				setTimeout(() => {
					processes.store.remove(`servers/${before}`);
				}, lapseMs).unref();
			}
		}
	}

	const polling = setInterval(watchEnds, pollMs);

	/** Sends a call; resolves without an answer if its host does not listen. */
	async function ask(call: RelayCall): Promise<Answer | undefined> {
		try {
			return await processes.ask(call);
		} catch {
			await sleep(reconnectMs);
			return undefined;
		}
	}

	async function sendCulprit(call: Partial<RelayCall> = {}): Promise<void> {
		await ask({
			path: '/summary/9', body: culpritBody, headers: toStreamHeaders({'prompt-prefix': 'culprit:200', 'deadline-ms': '2000'}), ...call,
		});
	}

	async function sendSound(at: number): Promise<void> {
		while (!stopping.signal.aborted) {
			const id = `sound${++created}`;
			sound.sent++;
			const answer = await ask({
				path: '/summary/1', body: id, at, headers: toStreamHeaders({'prompt-prefix': `${id}:200`, 'deadline-ms': '4000'}),
			});
			sound.served += answer?.status === 200 && answer.isWhole ? 1 : 0;
			sound.quarantined += answer?.body.includes('quarantined') === true ? 1 : 0;
		}
	}

	const traffic = Array.from({length: hostCount * streamsPerHost}, async (_, n) => sendSound(n % hostCount));
	const runsAt: number[] = [];
	let seen = 0;

	return {
		processes,
		servers,
		setEnds(isFatal, end) {
			for (const server of servers) {
				server.crashOn(({body}) => {
					if (body !== culpritBody) {
						return false;
					}

					runsAt.push(performance.now());
					return isFatal(server, seen++);
				}, end);
			}
		},
		async repeat({call = {}, gapMs, forMs}) {
			const calls: Array<Promise<unknown>> = [];
			const until = performance.now() + forMs;
			for (let n = 0; performance.now() < until; n++) {
				calls.push(sendCulprit({at: n % hostCount, ...call}));
				await sleep(gapMs);
			}

			await Promise.all(calls);
		},
		sendCulprit,
		tally() {
			const third = endedAt[endsAllowed - 1] ?? Infinity;
			return {
				ended: endedAt.length, lateRuns: runsAt.filter(at => at > third + spreadMs).length, sound: sound.sent, soundServed: sound.served, soundQuarantined: sound.quarantined,
			};
		},
		async stop() {
			stopping.abort();
			clearInterval(polling);
			await Promise.allSettled(traffic);
			await processes.stop();
		},
	};
}

/**
 * Sends the culprit again and again, and checks that few runs of it come later than
 * hosts must know, and that no sound request is refused.
 *
 * @param t - Receives the figures.
 * @param fleet - The fleet.
 * @param repeats - The calls, and for how long.
 */
export async function checkLateRuns(t: TestContext, fleet: BusyFleet, repeats: Repeats): Promise<void> {
	await fleet.repeat(repeats);
	const {ended, lateRuns, sound, soundServed, soundQuarantined} = fleet.tally();
	t.diagnostic(`${ended} servers ended, ${lateRuns} late runs; ${soundServed} of ${sound} sound requests served, ${soundQuarantined} refused as the culprit`);
	assert.ok(ended >= 3, `only ${ended} servers ended`);
	assert.ok(lateRuns <= maxLateRuns, `${lateRuns} late runs`);
	assert.equal(soundQuarantined, 0);
}
