/*
 * Guards against a request that goes on ending servers because the hosts that knew
 * of its first crash are gone or were cut off, and against one that is refused
 * because the host that served it in between told nobody.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../../../domain/_test/create-random.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {bytesPerKibibyte, msPerSecond} from '../../../ports/units.js';
import {startHosts, zones, type Host} from './_test/start-hosts.js';

type Fleet = Awaited<ReturnType<typeof startHosts>>;

const counts = [7, 74, 400];

const request = 'ends-servers';

/** Time after the third crash within which all hosts must quarantine the request. */
const spreadMs: Milliseconds = 3 * msPerSecond;

/** Bound on the control traffic of a host, in bytes a second. */
const maxControlBytes = 8 * bytesPerKibibyte;

async function startFleet(count: number, seed = count): Promise<Fleet> {
	const fleet = await startHosts(count, {lossShare: 0.05, random: createRandom(seed)});
	fleet.pass(10 * msPerSecond);
	return fleet;
}

function crash(fleet: Fleet, host: Host, server: string, fingerprint = request): void {
	host.suspects.noteBroken(fingerprint, server, fleet.now());
}

/** Lets the request end two more servers, under different hosts, and returns the hosts that would send it on. */
function endTwoMore(fleet: Fleet): string[] {
	for (const server of ['s2', 's3']) {
		crash(fleet, fleet.hosts[server === 's2' ? 1 : fleet.hosts.length - 1]!, server);
		fleet.pass(spreadMs);
	}

	return fleet.hosts.filter(({suspects, isDead}) => !isDead && !suspects.isQuarantined(request, fleet.now())).map(({name}) => name);
}

async function restartInTurn(fleet: Fleet, gapMs: Milliseconds): Promise<void> {
	for (const host of fleet.hosts) {
		fleet.kill(host);
		await fleet.restart(host);
		fleet.pass(gapMs);
	}
}

describe('hosts that share reports of crashes know of the first one', () => {
	for (const count of counts) {
		it(`after all of them were replaced in turn: ${count} hosts`, async () => {
			const fleet = await startFleet(count);
			crash(fleet, fleet.hosts[3]!, 's1');
			fleet.pass(6 * msPerSecond);
			await restartInTurn(fleet, count > 100 ? 100 : msPerSecond);
			assert.deepEqual(endTwoMore(fleet), []);
		});

		it(`after the zone that saw it was cut off: ${count} hosts`, async () => {
			const fleet = await startFleet(count);
			const [zone] = zones;
			fleet.cutZone(zone!);
			crash(fleet, fleet.hosts.find(host => host.zone === zone)!, 's1');
			fleet.pass(20 * msPerSecond);
			fleet.heal();
			fleet.pass(11 * msPerSecond);
			assert.deepEqual(endTwoMore(fleet), []);
		});
	}

	it('after most of them were killed at once: 7 hosts', async () => {
		const fleet = await startFleet(7);
		crash(fleet, fleet.hosts[3]!, 's1');
		fleet.pass(6 * msPerSecond);
		const killed = fleet.hosts.slice(0, 5);
		for (const host of killed) {
			fleet.kill(host);
		}

		for (const host of killed) {
			await fleet.restart(host);
		}

		fleet.pass(spreadMs);
		assert.deepEqual(endTwoMore(fleet), []);
	});
});

/** Number of survived runs that clear a request of one crash. */
const survivalsPerCrash = 4;

describe('hosts that share reports of crashes know of the runs that servers survived', () => {
	for (const count of counts) {
		for (const crashes of [1, 2]) {
			it(`after ${crashes} crashes under it: ${count} hosts`, async () => {
				const fleet = await startFleet(count);
				for (let n = 0; n < crashes; n++) {
					crash(fleet, fleet.hosts[n]!, `before-${n}`);
					fleet.pass(spreadMs);
				}

				for (let n = 0; n < crashes * survivalsPerCrash; n++) {
					fleet.hosts[4]!.suspects.noteSurvived(request, 'well', fleet.now());
					fleet.pass(msPerSecond / 4);
				}

				fleet.pass(spreadMs);
				for (let n = 0; n < 2; n++) {
					crash(fleet, fleet.hosts[fleet.hosts.length - 1 - n]!, `after-${n}`);
					fleet.pass(spreadMs);
				}

				assert.deepEqual(fleet.hosts.filter(({suspects}) => suspects.isQuarantined(request, fleet.now())).map(({name}) => name), []);
			});
		}
	}
});

describe('hosts that keep reports of crashes', () => {
	for (const count of counts) {
		it(`stay within the bound on control traffic while one of them starts: ${count} hosts`, async t => {
			const fleet = await startFleet(count);
			for (let n = 0; n < 4; n++) {
				for (let victim = 0; victim < 40; victim++) {
					crash(fleet, fleet.hosts[victim % count]!, `s${n}`, `beside-${n}-${victim}`);
				}

				fleet.pass(msPerSecond);
			}

			fleet.pass(6 * msPerSecond);
			await fleet.restart(fleet.hosts[2]!);
			const {bytes} = fleet.measure(10 * msPerSecond);
			t.diagnostic(`${(bytes / bytesPerKibibyte).toFixed(2)} KB a second and host`);
			assert.ok(bytes <= maxControlBytes, `${bytes} bytes a second`);
		});
	}
});
