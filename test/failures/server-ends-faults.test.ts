/** A request that ends servers while machines go dark, servers are drained, or hosts forget or miss what they are told. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {waitUntil} from '../_lib/wait-until/index.js';
import {
	checkLateRuns, spreadMs, startBusyFleet, type BusyFleet,
} from './_lib/busy-fleet.js';

let fleet: BusyFleet;

const toRepeats = {gapMs: 400, forMs: 12_000};

/** Time for which a host stands still: longer than other hosts need to tell each other of an end. */
const pauseMs = 4000;

/** Waits until the culprit has ended so many servers. */
const waitForEnds = async (count: number) => waitUntil(() => fleet.tally().ended >= count, {deadlineMs: 10_000, what: `${count} ended servers`});

async function restartHosts(): Promise<void> {
	await waitForEnds(2);
	for (const host of fleet.processes.hosts().keys()) {
		await fleet.processes.kill(host);
		await fleet.processes.restart(host);
	}
}

async function pauseHost(): Promise<void> {
	await waitForEnds(2);
	const host = fleet.processes.hosts()[1]!;
	host.pause();
	await sleep(pauseMs);
	host.resume();
}

describe('hosts as processes, whose busy servers end under a request', {timeout: 180_000}, () => {
	beforeEach(async () => {
		fleet = await startBusyFleet();
	});
	afterEach(async () => fleet.stop());

	// Guards against a request that goes on ending servers which go dark, as it is repeated faster than their entries lapse.
	it('send it on no more, when servers go dark and it is repeated fast', async t => {
		fleet.setEnds(() => true, 'goes dark');
		await checkLateRuns(t, fleet, {gapMs: 250, forMs: 12_000, call: {leaveAfterMs: 700}});
	});

	// Guards against a request that goes on ending servers which have announced that they leave.
	it('send it on no more, when servers that are drained end', async t => {
		fleet.setEnds(server => {
			fleet.processes.publish(server, {state: 'draining'});
			return true;
		}, 'once-left');
		await checkLateRuns(t, fleet, {...toRepeats, call: {leaveAfterMs: 700}});
	});

	// Guards against a request that goes on ending servers because the hosts that knew of it were restarted.
	it('send it on no more, although they are killed and restarted in turn after the second end', async t => {
		fleet.setEnds(() => true, 'closes');
		const restarted = restartHosts();
		await checkLateRuns(t, fleet, toRepeats);
		await restarted;
	});

	// Guards against a request that a host sends on after it stood still while the others were told.
	it('send it on no more, although one of them stands still during the third end', async t => {
		fleet.setEnds(() => true, 'closes');
		const paused = pauseHost();
		await checkLateRuns(t, fleet, toRepeats);
		await paused;
	});

	// Guards against calls that wait while the third end becomes known and are sent on then.
	it('do not send on calls of it that wait for a prefill meanwhile', async () => {
		fleet.setEnds(() => true, 'closes');
		for (let n = 1; n <= 2; n++) {
			await fleet.sendCulprit({at: n});
			await waitForEnds(n);
		}

		const releasing = new AbortController();
		const held = once(releasing.signal, 'abort');
		for (const server of fleet.servers) {
			server.delayPrefillsUntil(held);
		}

		const waiting = Array.from({length: 8}, async (_, n) => fleet.sendCulprit({at: n % 3, headers: {'deadline-ms': '12000'}}));
		await sleep(300);
		for (const server of fleet.servers) {
			server.delayPrefillsUntil(Promise.resolve());
		}

		await fleet.sendCulprit({at: 0});
		await waitForEnds(3);
		await sleep(spreadMs);
		releasing.abort();
		await Promise.all(waiting);
		assert.equal(fleet.tally().lateRuns, 0);
	});
});
