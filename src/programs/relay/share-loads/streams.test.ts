import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../../../domain/_test/create-random.js';
import {type StreamOrigin} from '../../../ports/stream-origins.js';
import {msPerSecond} from '../../../ports/units.js';
import {startHosts, stepMs, type Host} from './_test/start-hosts.js';

type Fleet = Awaited<ReturnType<typeof startHosts>>;

const origin: StreamOrigin = {pool: 'letters', softwareVersion: 'v1'};
const lifeMs = 60 * msPerSecond;
const settleMs = 15 * msPerSecond;

const toKey = (stream: number): string => `stream-${stream}`;

function begin(fleet: Fleet, host: Host, streams: number): void {
	for (let stream = 0; stream < streams; stream++) {
		host.sharing.origins.note({key: toKey(stream), origin, lifeMs}, fleet.now());
	}
}

/** Returns the share of the streams that a host finds. */
function findShare(fleet: Fleet, host: Host, streams: number): number {
	let found = 0;
	for (let stream = 0; stream < streams; stream++) {
		host.sharing.origins.find(toKey(stream), fleet.now(), known => {
			found += known === undefined ? 0 : 1;
		});
	}

	fleet.pass(10 * stepMs);
	return found / streams;
}

// Guards against streams that can't go on because the hosts that knew them were restarted one after the other.
describe('hosts that keep origins of streams together', () => {
	it('know a stream after all but the host on which it began were restarted in turn, and that one was killed', async () => {
		const fleet = await startHosts(7);
		fleet.pass(settleMs);
		begin(fleet, fleet.hosts[0]!, 20);
		for (const i of [1, 2, 3, 4, 5, 6]) {
			await fleet.restart(fleet.hosts[i]!);
			fleet.pass(msPerSecond);
		}

		fleet.kill(fleet.hosts[0]!);
		for (const i of [1, 3, 6]) {
			assert.equal(findShare(fleet, fleet.hosts[i]!, 20), 1);
		}
	});

	for (const count of [30, 100]) {
		it(`know most streams after the host on which they began and half of ${count} hosts were killed at once`, async () => {
			const fleet = await startHosts(count, {lossShare: 0.02, random: createRandom(3)});
			fleet.pass(settleMs);
			begin(fleet, fleet.hosts[0]!, 60);
			for (const host of fleet.hosts.filter((_, i) => i % 2 === 0)) {
				fleet.kill(host);
			}

			assert.ok(findShare(fleet, fleet.hosts[1]!, 60) > 0.7);
			assert.ok(findShare(fleet, fleet.hosts[5]!, 60) > 0.7);
		});
	}

	it('know a stream within a zone that is cut off after it began there', async () => {
		const fleet = await startHosts(60);
		fleet.pass(settleMs);
		const ofZone = fleet.hosts.filter(({zone}) => zone === 'c');
		begin(fleet, ofZone[0]!, 30);
		fleet.cutZone('c');
		fleet.kill(ofZone[0]!);
		assert.ok(findShare(fleet, ofZone[1]!, 30) > 0.8);
	});
});
