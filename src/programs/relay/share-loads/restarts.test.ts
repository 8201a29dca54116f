/*
 * Guards against hosts that serve callers before they know what the others know: a
 * request that ends servers is sent on by each host that has just started or was
 * away, although all others refuse it.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../../../domain/_test/create-random.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {bytesPerKibibyte, msPerSecond} from '../../../ports/units.js';
import {playRestarts, type RestartTally} from './_test/play-restarts.js';
import {startHosts, zones} from './_test/start-hosts.js';

const counts = [9, 74, 400];

/** Hosts that are restarted in turn. */
const maxInTurn = 6;

/** Bound on the control traffic of a host, in bytes a second. */
const maxControlBytes = 8 * bytesPerKibibyte;

/** Other requests under which as many servers ended, so that the messages of a round name few of all. */
const besides = 160;

/** Longest time for which a host that starts may wait for others. */
const maxWaitMs: Milliseconds = 650;

/** Hosts that are killed at once: six of ten, the seeds among them. */
const toSome = (count: number): number[] => Array.from({length: Math.round(0.6 * count)}, (_, i) => i);

const toAll = (count: number): number[] => Array.from({length: count}, (_, i) => i);

const describeTally = ({unaware, waitMs, bytes}: RestartTally): string => `${unaware} hosts sent it on; waited ${waitMs.mean.toFixed(0)} ms, at most ${waitMs.max}; ${(bytes / bytesPerKibibyte).toFixed(2)} KB a second and host`;

describe('hosts that start do not send on what all others refuse', () => {
	for (const count of counts) {
		it(`in turn: ${count} hosts`, async t => {
			const tally = await playRestarts({hosts: count, groups: toAll(maxInTurn).map(host => [host]), gapMs: msPerSecond});
			t.diagnostic(describeTally(tally));
			assert.equal(tally.unaware, 0);
			assert.ok(tally.bytes <= maxControlBytes);
		});

		it(`six of ten at once, the seeds among them: ${count} hosts`, async t => {
			const tally = await playRestarts({hosts: count, groups: [toSome(count)], gapMs: 3 * msPerSecond});
			t.diagnostic(describeTally(tally));
			assert.equal(tally.unaware, 0);
			assert.ok(tally.bytes <= maxControlBytes);
		});

		it(`all at once serve within the bound: ${count} hosts`, async t => {
			const tally = await playRestarts({hosts: count, groups: [toAll(count)], gapMs: 2 * msPerSecond});
			t.diagnostic(describeTally(tally));
			assert.ok(tally.waitMs.max <= maxWaitMs);
			assert.ok(tally.bytes <= maxControlBytes);
		});
	}
});

/** Cuts a zone off, lets three servers end elsewhere under the request, and returns the hosts that send it on once they hear other zones again. */
async function playCut(count: number, {restarted = 0}: {restarted?: number} = {}): Promise<readonly string[]> {
	const fleet = await startHosts(count, {lossShare: 0.05, random: createRandom(count)});
	fleet.pass(10 * msPerSecond);
	const [zone] = zones;
	fleet.cutZone(zone!);
	fleet.pass(5 * msPerSecond);
	const {suspects} = fleet.hosts.find(host => host.zone !== zone)!;
	for (const server of ['s1', 's2', 's3']) {
		for (let n = 0; n < besides; n++) {
			suspects.noteBroken(`beside-${n}`, server, fleet.now());
		}

		suspects.noteBroken('ends-servers', server, fleet.now());
	}

	for (const host of fleet.hosts.filter(host => host.zone === zone).slice(0, restarted)) {
		await fleet.restart(host);
	}

	fleet.pass(4 * msPerSecond);
	const inZone = fleet.hosts.filter(host => host.zone === zone);
	const heard = new Set<string>();
	const unaware = new Set<string>();
	fleet.heal();
	for (let waitedMs = 0; waitedMs < 3 * msPerSecond; waitedMs += 50) {
		fleet.pass(50);
		const inTouch = inZone.filter(host => !host.sharing.isIsolated() && fleet.heardBy(host).some(other => other.zone !== zone));
		for (const host of inTouch) {
			heard.add(host.name);
			if (!host.sharing.catchUp.isBehind(fleet.now()) && !host.suspects.isQuarantined('ends-servers', fleet.now())) {
				unaware.add(host.name);
			}
		}
	}

	assert.equal(heard.size, inZone.length);
	return [...unaware];
}

describe('hosts that come back do not send on what was refused meanwhile', () => {
	for (const count of counts) {
		it(`after their zone was cut off: ${count} hosts`, async () => {
			assert.deepEqual(await playCut(count), []);
		});
	}

	// Guards against hosts that were told all that their zone knows, and take that for all once the cut ends.
	for (const count of [9, 74]) {
		it(`after their zone was cut off, and some were started meanwhile: ${count} hosts`, async () => {
			assert.deepEqual(await playCut(count, {restarted: Math.ceil(count / zones.length / 2)}), []);
		});
	}
});
