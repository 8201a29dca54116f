/*
 * Guards against hosts that go back to an older edition of the configuration.
 * After an edition has come in force, the platform serves an old document or none,
 * hosts restart, a zone is cut off, or two operators seal from the same edition. No
 * caller may see an earlier edition after a later one: a host accepts only the
 * highest version that it has seen, from the platform or from peers.
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	describe, it, type TestContext,
} from 'node:test';
import {type FleetHost} from '../_lib/start-fleet/index.js';
import {
	far, near, readMetric, readStatus, useConfigFleet, type Published,
} from './_lib/start-config-fleet.js';

/** Longer than a host's interval between two reads of the platform. */
const readIntervalMs = 1000;
/** Most reads of the platform that one host may make in its first ten seconds. */
const maxStartReadsPerHost = 16;
const startWindowMs = 10_000;
/** Which peer a restarted host hears first depends on chance. */
const rejoinRounds = 5;

describe('a configuration in force', () => {
	const config = useConfigFleet();

	const stale = [
		{name: 'the previous document under its own revision', toFaults: (older: Published) => ({oldRevision: older.revision})},
		{name: 'the previous document under the newest revision', toFaults: (older: Published) => ({oldDocument: older.revision})},
	];
	const restarts = [
		{name: 'no host restarts', pick: () => []},
		{name: 'one host restarts', pick: () => config().fleet.hosts.slice(0, 1)},
		{name: 'all hosts of a zone are replaced', pick: () => config().ofZone(near)},
	];
	for (const {name, toFaults} of stale) {
		for (const {name: which, pick} of restarts) {
			it(`stays in force when the platform serves ${name} and ${which}`, async () => {
				const {older, newer} = await config().putInForce();
				// A host that got the newest edition from a peer may not have read the platform yet, and would see no change in the older document.
				await sleep(readIntervalMs);
				const faults = toFaults(older);
				config().fleet.platform.setFaults(faults);
				const restarted = pick();
				await config().restart(restarted);
				// Hosts that were not restarted wait for a later revision, so they don't read a document under the newest one.
				const offered = restarted.length > 0 || 'oldDocument' in faults ? restarted : config().fleet.hosts;
				await config().waitUntilRefused(offered, 'oldDocument' in faults ? newer.revision : older.revision);

				await config().waitUntilSeen(newer);
				config().assertNotReverted();
			});
		}
	}

	it('is the same on all hosts when two documents were sealed from one edition', async () => {
		const {newer} = await config().putInForce();
		const [one, other] = [config().toSealed(newer.text), config().toSealed(newer.text)];
		config().fleet.network.isolate(far);
		const first = config().publish(one);
		await config().waitUntilSeen(first, config().ofZone(near));
		config().setCurrent(config().publish(other));
		config().fleet.network.heal();
		await config().waitUntilSeen(config().current());
		const statuses = await Promise.all(config().ofZone(near).map(async host => readStatus(host)));
		assert.ok(statuses.every(({warning}) => warning?.includes('two documents were sealed as edition')), 'the status does not warn of the conflicting document');
		config().fleet.platform.setFaults({oldRevision: first.revision});
		await config().restart(config().ofZone(far));
		await config().waitUntilRefused(config().ofZone(far), first.revision);
		await config().waitUntilSeen(config().current());
	});

	it('reaches a zone that rejoins with an older edition, through peers alone', async t => {
		const {newer: held} = await config().putInForce();
		config().fleet.network.isolate(far);
		const newer = config().publishNext();
		await config().waitUntilSeen(newer, config().ofZone(near));
		await config().waitUntilSeen(held, config().ofZone(far));
		config().fleet.network.heal();
		config().fleet.network.cut(far, 'platform');
		const healedAt = performance.now();
		await config().waitUntilSeen(newer);
		t.diagnostic(`in force in the zone ${Math.round(performance.now() - healedAt)} ms after the partition healed`);
	});

	it('reaches the other zone from a zone that rejoins with a newer edition while the platform serves the older one', async t => {
		const {newer: held} = await config().putInForce();
		config().fleet.network.isolate(near);
		const newer = config().publishNext();
		await config().waitUntilSeen(newer, config().ofZone(far));
		await config().waitUntilSeen(held, config().ofZone(near));
		config().fleet.platform.setFaults({oldRevision: held.revision});
		config().fleet.network.heal();
		const healedAt = performance.now();
		await config().waitUntilSeen(newer);
		t.diagnostic(`in force in the other zone ${Math.round(performance.now() - healedAt)} ms after the partition healed`);
	});

	// Guards against a restarted host that shows the older edition of a zone that was cut off.
	it('is shown by a host that restarts while a zone with an older edition rejoins', async () => {
		for (let round = 1; round <= rejoinRounds; round++) {
			await config().putInForce();
			config().fleet.network.isolate(far);
			const newer = config().publishNext();
			await config().waitUntilSeen(newer, config().ofZone(near));
			config().fleet.platform.setFaults({down: true});
			const [host] = config().ofZone(near) as [FleetHost, ...FleetHost[]];
			await host.kill();
			const started = host.start();
			config().fleet.network.heal();
			await started;
			await config().waitUntilAnswered([host], newer, 'the restarted host to answer by the newest edition');
			config().fleet.platform.setFaults({});
			await config().waitUntilSeen(newer);
			config().assertNotReverted();
		}
	});

	for (const faults of [{down: true}, {garbage: true}]) {
		it(`stays in force and reaches a replaced host while the platform is ${faults.down ? 'down' : 'answering garbage'}`, async () => {
			const {newer} = await config().putInForce();
			config().fleet.platform.setFaults(faults);
			const [host] = config().fleet.hosts as [FleetHost, ...FleetHost[]];
			await config().restart([host]);
			await config().waitUntilAnswered([host], newer, 'the replaced host to answer by the edition from a peer');
			await config().waitUntilSeen(newer);
		});
	}

	async function readWhileStarting(t: TestContext): Promise<void> {
		const {newer} = await config().putInForce();
		await Promise.all(config().fleet.hosts.map(async host => host.kill()));
		const before = config().fleet.platform.judge().reads;
		const until = performance.now() + startWindowMs;
		const perSecond: number[] = [];
		const starting = Promise.all(config().fleet.hosts.map(async host => host.start()));
		for (let counted = before; performance.now() < until;) {
			await sleep(1000);
			const {reads} = config().fleet.platform.judge();
			perSecond.push(reads - counted);
			counted = reads;
		}

		await starting;
		await config().waitUntilAnswered(config().fleet.hosts, newer, 'all restarted hosts to answer by the newest edition');
		const byHost = await Promise.all(config().fleet.hosts.map(async host => readMetric(host, 'platform_reads_total')));
		const reads = perSecond.reduce((sum, count) => sum + count, 0);
		t.diagnostic(`${reads} reads in ${startWindowMs} ms by ${config().fleet.hosts.length} hosts that started together, by second ${perSecond.join(' ')}; by their own count ${byHost.join(' ')}`);
		assert.ok(reads > 0);
		assert.ok(reads <= maxStartReadsPerHost * config().fleet.hosts.length, `${reads} reads of the platform after the hosts started together`);
		assert.equal(config().fleet.platform.judge().rejectedReads, 0);
	}

	it('is read from the platform within the limit when all hosts start together', readWhileStarting);

	it('came in force on all hosts after each change', t => {
		const sorted = config().spreadMs().toSorted((a, b) => a - b);
		t.diagnostic(`${sorted.length} spreads to one host: median ${sorted[Math.floor(sorted.length / 2)]} ms, longest ${sorted.at(-1)} ms`);
		assert.ok(sorted.length > 0);
	});
});
