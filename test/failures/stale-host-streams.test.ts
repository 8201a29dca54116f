/** Streams that are taken up at a host which is out of step with the fleet, while servers of a new software version join. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from '../_lib/wait-until/index.js';
import {startRelayProcesses, type RelayProcesses} from '../stand-ins/users-platform/start-relay-processes.js';
import {followStream, isOneStream} from './_lib/follow-stream.js';

const streams = 24;
const options = {events: 12, workMs: 50};
const midStreamMs = 400;
const staleHost = 2;
const deadlineMs = 20_000;

/** How a host is out of step while the servers join and the streams begin. */
const cases = ['stands still', 'stands still, and goes on only as streams are taken up', 'starts anew'] as const;

// Guards against a stream that a host takes up with a view or records of before, and sends to a server of another software version.
describe('a stream taken up at a host that is out of step in a release', {timeout: 240_000}, () => {
	let processes: RelayProcesses;
	let round = 0;
	before(async () => {
		processes = await startRelayProcesses({hosts: 4});
		await processes.startServer('prefill1', 'v1', options);
		await Promise.all(['decode1', 'decode2'].map(async id => processes.startServer(id, 'v1', options)));
		await processes.waitForServers();
	});
	after(async () => processes.stop());

	for (const name of cases) {
		it(`goes on at its version or is refused: the host ${name}`, async () => {
			round++;
			const host = processes.hosts()[staleHost]!;
			if (name === 'starts anew') {
				await processes.kill(staleHost);
			} else {
				host.pause();
			}

			const version = `v${round + 1}`;
			const joined = await Promise.all(['prefill', 'decode', 'decode'].map(async (kind, i) => processes.startServer(`${kind}${round}${i}`, version, options)));
			await waitUntil(() => processes.logs().filter(line => line.message === 'server changed' && line.server === joined[2]!.id && line.state === 'serving').length >= 3, {deadlineMs, what: 'the other hosts to know the servers'});
			const asked = Promise.all(Array.from({length: streams}, async (_, i) => followStream(processes.ask, {requestId: `${round}-${i}`, hosts: [0, staleHost, staleHost, 1, 3]})));
			await sleep(midStreamMs);
			if (name === 'starts anew') {
				await processes.restart(staleHost);
			}

			const resumed = (async () => {
				await (name === 'stands still' ? undefined : sleep(300));
				processes.hosts()[staleHost]!.resume();
			})();
			await processes.kill(0);
			await resumed;
			const followed = await asked;
			const broken = followed.filter(({events}) => !isOneStream(events));
			assert.deepEqual(broken.map(({requestId, events}) => `${requestId}: ${events.map(event => `${event.id} ${event.version}`).join(', ')}`), []);
			assert.ok(followed.every(({refusals}) => refusals.every(({status}) => status === 503)), JSON.stringify(followed.flatMap(({statuses}) => statuses)));
			assert.ok(followed.some(({events}) => events[0]?.version === version), 'no stream began at the new version');
			assert.ok(followed.some(({isWhole}) => isWhole), 'no stream went on');
			await processes.restart(0);
			await processes.waitForServers();
		});
	}
});
