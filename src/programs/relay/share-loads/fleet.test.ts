/*
 * Guards against callers that wait for servers of a zone which is cut off, though
 * another zone could serve them. If each of hundreds of hosts advertises only the
 * first sixteen on its list, all hosts send to the same few, most receive nothing,
 * and no zone is ever known to be silent. In virtual time, each host must hear its
 * own zone and every other one, and stay within the bound on control traffic.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../../../domain/_test/create-random.js';
import {bytesPerKibibyte, msPerSecond} from '../../../ports/units.js';
import {
	startHosts, stepMs, zones, type Host,
} from './_test/start-hosts.js';

/** Bound on the control traffic of a host, in bytes a second. */
const maxControlBytes = 8 * bytesPerKibibyte;

describe('hundreds of hosts that share loads', () => {
	for (const count of [100, 200, 400]) {
		it(`stay within the bound on control traffic at ${count} hosts`, async t => {
			const fleet = await startHosts(count);
			fleet.pass(15 * msPerSecond);
			const {messages, bytes} = fleet.measure(5 * msPerSecond);
			t.diagnostic(`${messages.toFixed(1)} messages, ${(bytes / bytesPerKibibyte).toFixed(2)} KB a second and host`);
			assert.ok(bytes <= maxControlBytes, `${bytes} bytes a second`);
		});
	}

	it('answer a new host at once rather than in their next round', async () => {
		const fleet = await startHosts(200);
		fleet.pass(15 * msPerSecond);
		const newcomer = await fleet.startOne();
		fleet.pass(3 * stepMs);
		assert.ok(fleet.heardBy(newcomer).length > 0);
	});

	it('hear their own zone and the others, also after half of the hosts and a whole zone were killed at once', async () => {
		const fleet = await startHosts(200);
		fleet.pass(15 * msPerSecond);
		const isInformed = (host: Host) => fleet.heardBy(host).some(({zone}) => zone === host.zone);
		assert.ok(fleet.hosts.every(host => isInformed(host)));
		assert.ok(fleet.hosts.every(host => fleet.silentZones(host).length === 0));
		const killed = fleet.hosts.filter(({zone}, i) => zone === 'f' || Math.floor(i / zones.length) % 2 === 1);
		for (const host of killed) {
			fleet.kill(host);
		}

		fleet.pass(15 * msPerSecond);
		const left = fleet.hosts.filter(({isDead}) => !isDead);
		assert.ok(left.every(host => isInformed(host)));
		assert.ok(left.every(host => fleet.heardBy(host).every(({isDead}) => !isDead)));
		const silent = left.flatMap(host => fleet.silentZones(host));
		assert.ok(silent.filter(zone => zone === 'f').length >= left.length * 0.9, 'the dead zone is not noticed');
		assert.deepEqual(silent.filter(zone => zone !== 'f'), []);
	});

	// Guards against hosts that go on taking callers for seconds although their zone is cut off, and against hosts that think so when some messages are lost.
	for (const count of [58, 400]) {
		it(`know within two seconds that their zone is cut off at ${count} hosts, and never without a cut`, async () => {
			const fleet = await startHosts(count, {lossShare: 0.1, random: createRandom(1)});
			fleet.pass(15 * msPerSecond);
			const countIsolated = (isOfZone: boolean) => fleet.hosts.filter(({zone, sharing}) => (zone === 'c') === isOfZone && sharing.isIsolated()).length;
			for (let i = 0; i < 20 * msPerSecond; i += 5 * stepMs) {
				fleet.pass(5 * stepMs);
				assert.equal(countIsolated(true) + countIsolated(false), 0);
			}

			fleet.cutZone('c');
			fleet.pass(2 * msPerSecond);
			assert.equal(countIsolated(true), fleet.hosts.filter(({zone}) => zone === 'c').length);
			assert.equal(countIsolated(false), 0);
			fleet.heal();
			fleet.pass(2 * msPerSecond);
			assert.equal(countIsolated(true), 0);
		});
	}
});
