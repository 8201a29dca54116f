/** A request that ends servers, while hosts that know of it are killed and started again. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, it, type TestContext,
} from 'node:test';
import {waitUntil} from '../_lib/wait-until/index.js';
import {checkLateRuns, startBusyFleet, type BusyFleet} from './_lib/busy-fleet.js';

/** Time after the third end by which all hosts refuse the request, and from which each run is late. */
const knownMs = 3500;

const gapMs = 30;

let fleet: BusyFleet;

async function restart(hosts: readonly number[]): Promise<void> {
	await Promise.all(hosts.map(async host => fleet.processes.kill(host)));
	await Promise.all(hosts.map(async host => fleet.processes.restart(host)));
}

/** Restarts groups of hosts one after the other. */
async function restartInTurn(groups: ReadonlyArray<readonly number[]>, pauseMs: number): Promise<void> {
	for (const group of groups) {
		await restart(group);
		await sleep(pauseMs);
	}
}

type Scene = {hosts: number; restartAll: () => Promise<void>; forMs: number};

async function checkRestarts(t: TestContext, {hosts, restartAll, forMs}: Scene): Promise<void> {
	fleet = await startBusyFleet(hosts);
	fleet.setEnds(() => true, 'closes');
	await fleet.repeat({gapMs: 400, forMs: 2000});
	await waitUntil(() => fleet.tally().ended >= 3, {deadlineMs: 10_000, what: 'three ended servers'});
	await sleep(knownMs);
	assert.equal(fleet.tally().lateRuns, 0, 'runs before the first restart');
	const restarted = restartAll();
	await checkLateRuns(t, fleet, {gapMs, forMs});
	await restarted;
}

const each = (count: number): number[][] => Array.from({length: count}, (_, host) => [host]);

describe('hosts as processes that are killed and started again', {timeout: 180_000}, () => {
	afterEach(async () => fleet.stop());

	// Guards against a request that goes on ending servers because a host serves callers before its peers have told it what they know.
	it('send a request that ended servers on no more: each of three hosts in turn, three times', async t => {
		await checkRestarts(t, {hosts: 3, restartAll: async () => restartInTurn([...each(3), ...each(3), ...each(3)], 1000), forMs: 16_000});
	});

	it('send a request that ended servers on no more: each of nine hosts in turn', async t => {
		await checkRestarts(t, {hosts: 9, restartAll: async () => restartInTurn(each(9), 1000), forMs: 16_000});
	});

	// Guards against hosts that start at the same moment and learn from each other that nothing is known.
	it('send a request that ended servers on no more: six of nine hosts at once, the seeds among them, twice', async t => {
		await checkRestarts(t, {hosts: 9, restartAll: async () => restartInTurn([[0, 1, 2, 3, 4, 5], [0, 1, 2, 6, 7, 8]], 3000), forMs: 10_000});
	});

	// Guards against repeats of a request that are sent on while its earlier runs are unresolved, where no host remembers.
	it('send a request on to three servers more at most: all of three hosts at once', async t => {
		await checkRestarts(t, {hosts: 3, restartAll: async () => restart([0, 1, 2]), forMs: 6000});
	});
});
