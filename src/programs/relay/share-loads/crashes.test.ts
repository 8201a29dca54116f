/*
 * Guards against a request that crashes servers through one host after the other,
 * because each host has seen only some of the crashes.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../../../domain/_test/create-random.js';
import {type Milliseconds, type Random} from '../../../ports/clock.js';
import {bytesPerKibibyte, msPerSecond} from '../../../ports/units.js';
import {startHosts, stepMs, type Host} from './_test/start-hosts.js';

/** Bound on the control traffic of a host, in bytes a second. */
const maxControlBytes = 8 * bytesPerKibibyte;

/** Time after the third crash within which all hosts must quarantine the request. */
const spreadMs: Milliseconds = 3 * msPerSecond;

const culprit = 'crashes-them';

type Fleet = Awaited<ReturnType<typeof startHosts>>;

type CrashHistory = {crashes: Milliseconds[]; host: Host[]};

function pick(hosts: readonly Host[], random: Random): Host {
	return hosts[Math.floor(random() * hosts.length)]!;
}

/** Sends the request to a random host. If it is not quarantined there, a server crashes, and the victims that ran on it break too. */
function send(fleet: Fleet, history: CrashHistory, {random, victims}: {random: Random; victims: number}): void {
	const now = fleet.now();
	const host = pick(fleet.hosts, random);
	if (host.suspects.isQuarantined(culprit, now)) {
		host.suspects.noteRefused(culprit, now);
		return;
	}

	history.crashes.push(now);
	history.host.push(host);
	const server = `i-93770e37e${history.crashes.length}`;
	host.suspects.noteBroken(culprit, server, now);
	for (let i = 0; i < victims; i++) {
		pick(fleet.hosts, random).suspects.noteBroken(`victim-${history.crashes.length}-${i}`, server, now);
	}
}

function run(fleet: Fleet, {gapMs, forMs, random, victims = 40}: {gapMs: Milliseconds; forMs: Milliseconds; random: Random; victims?: number}): CrashHistory {
	const history: CrashHistory = {crashes: [], host: []};
	for (let passedMs = 0; passedMs < forMs; passedMs += gapMs) {
		send(fleet, history, {random, victims});
		fleet.pass(gapMs);
	}

	return history;
}

const toLateCrashes = ({crashes}: CrashHistory): Milliseconds[] => crashes.filter(at => at > crashes[2]! + spreadMs);

describe('hosts that share reports of a request that crashes servers', () => {
	const counts: ReadonlyArray<{count: number; gaps: readonly Milliseconds[]}> = [
		{count: 7, gaps: [stepMs, 300, 1000, 4000]},
		{count: 50, gaps: [stepMs, 1000, 4000]},
		{count: 195, gaps: [stepMs, 300, 1000, 4000]},
		{count: 400, gaps: [stepMs, 1000]},
	];
	for (const {count, gaps} of counts) {
		for (const gapMs of gaps) {
			it(`let it reach no server three seconds after its third crash: ${count} hosts, sent every ${gapMs} ms, one message in twenty lost`, async t => {
				const random = createRandom(count + gapMs);
				const fleet = await startHosts(count, {lossShare: 0.05, random});
				fleet.pass(10 * msPerSecond);
				const history = run(fleet, {gapMs, forMs: 24 * msPerSecond, random});
				t.diagnostic(`${history.crashes.length} crashes in all`);
				assert.ok(history.crashes.length >= 3);
				assert.deepEqual(toLateCrashes(history), []);
			});
		}
	}

	it('inform restarted hosts within three seconds', async () => {
		const random = createRandom(1);
		const fleet = await startHosts(195, {lossShare: 0.05, random});
		fleet.pass(10 * msPerSecond);
		run(fleet, {gapMs: 1000, forMs: 10 * msPerSecond, random});
		for (const host of [...fleet.hosts].filter((_, i) => i % 2 === 0)) {
			await fleet.restart(host);
		}

		fleet.pass(spreadMs);
		assert.deepEqual(fleet.hosts.filter(({suspects}) => !suspects.isQuarantined(culprit, fleet.now())).map(({name}) => name), []);
	});

	it('quarantine it again after three more crashes once all hosts were killed', async () => {
		const random = createRandom(2);
		const fleet = await startHosts(50, {random});
		fleet.pass(10 * msPerSecond);
		run(fleet, {gapMs: 1000, forMs: 10 * msPerSecond, random});
		const all = [...fleet.hosts];
		for (const host of all) {
			fleet.kill(host);
		}

		for (const host of all) {
			await fleet.restart(host);
		}

		fleet.pass(spreadMs);
		assert.equal(run(fleet, {gapMs: 1000, forMs: 20 * msPerSecond, random}).crashes.length, 3);
	});

	it('stay within the bound on control traffic while servers crash', async t => {
		const random = createRandom(3);
		const fleet = await startHosts(200, {random});
		fleet.pass(15 * msPerSecond);
		run(fleet, {
			gapMs: 500, forMs: 3 * msPerSecond, random, victims: 128,
		});
		const {messages, bytes} = fleet.measure(5 * msPerSecond);
		t.diagnostic(`${messages.toFixed(1)} messages, ${(bytes / bytesPerKibibyte).toFixed(2)} KB a second and host`);
		assert.ok(bytes <= maxControlBytes, `${bytes} bytes a second`);
	});
});
