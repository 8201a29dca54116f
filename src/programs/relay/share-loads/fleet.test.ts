/*
 * Callers wait at servers of a zone that is cut off, though another zone could
 * serve them. With hundreds of hosts, each knows and names to others the sixteen
 * that came first on its list, so all talk to the same few and most hear nobody:
 * no zone is ever known to be silent. Proof, in virtual time: each host hears its
 * own zone and every other one, and what it sends stays in the budget of control.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLog} from '../../../adapters/log/index.js';
import {encodeLoadMessage, type openLoadDatagrams} from '../../../adapters/load-datagrams/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type LoadMessage} from '../../../ports/shared-loads.js';
import {bytesPerKibibyte, msPerSecond} from '../../../ports/units.js';
import {shareLoads, type RunningLoadSharing} from './index.js';

/** What a host may spend on control, the brief's bound. */
const bytesOfHost = 8 * bytesPerKibibyte;

const zones = ['a', 'b', 'c', 'd', 'e', 'f'];
const stepMs: Milliseconds = 50;

type Host = {name: string; zone: string; address: string; sharing: RunningLoadSharing; isDead: boolean};

const log = createLog({
	level: 'error', program: 'test', host: 'h', zone: 'z', incarnation: 1, sink: {write: () => true, writableLength: 0, on: () => undefined},
});

/** Hosts whose messages reach each other within the same step. */
async function startHosts(count: number) {
	let now: Milliseconds = 0;
	const receivers = new Map<string, (message: LoadMessage, from: string) => void>();
	const hosts: Host[] = [];
	const sent = {messages: 0, bytes: 0};

	const open: typeof openLoadDatagrams = async ({address, onMessage}) => {
		receivers.set(address, onMessage);
		return {
			send(message, to) {
				sent.messages += to.length;
				sent.bytes += to.length * encodeLoadMessage(message).length;
				for (const target of to) {
					receivers.get(target)?.(message, address);
				}
			},
			close: async () => undefined,
		};
	};

	async function start(i: number): Promise<Host> {
		const zone = zones[i % zones.length]!;
		const address = `10.0.${Math.floor(i / 250)}.${1 + (i % 250)}:7380`;
		const sharing = await shareLoads({
			address, zone, open, log, seeds: ['10.0.0.1:7380', '10.0.0.2:7380', '10.0.0.3:7380'], host: `front-${zone}-${i}`, incarnation: now, clock: {now: () => now, wallNow: () => now},
		});
		return {
			name: `front-${zone}-${i}`, zone, address, sharing, isDead: false,
		};
	}

	for (let i = 0; i < count; i++) {
		hosts.push(await start(i));
	}

	/** Each host has a request under way; those of each third end, and others begin, three times a second. */
	function tick(host: Host, i: number): void {
		const isBusy = Math.floor(i / zones.length) % 3 === 0;
		const requests = isBusy ? 1 + (Math.floor(now / 333) % 3) : 1;
		host.sharing.tick([{server: `of ${host.name}`, requests, promptTokens: 3000}]);
	}

	function pass(ms: Milliseconds): void {
		const until = now + ms;
		while (now < until) {
			now += stepMs;
			for (const [i, host] of hosts.entries()) {
				if (!host.isDead) {
					tick(host, i);
				}
			}
		}
	}

	return {
		hosts,
		pass,
		/** What one host sends a second over some seconds, on average. */
		measure(ms: Milliseconds) {
			const before = {...sent};
			pass(ms);
			const seconds = ms / msPerSecond;
			const living = hosts.filter(({isDead}) => !isDead).length;
			return {messages: (sent.messages - before.messages) / living / seconds, bytes: (sent.bytes - before.bytes) / living / seconds};
		},
		/** Starts one more host. */
		async startOne(): Promise<Host> {
			const host = await start(hosts.length);
			hosts.push(host);
			return host;
		},
		kill(host: Host): void {
			host.isDead = true;
			receivers.delete(host.address);
		},
		/** Hosts whose requests a host knows. */
		heardBy: ({sharing}: Host): Host[] => hosts.filter(other => sharing.read(`of ${other.name}`, now).requests > 0),
		silentZones: ({sharing}: Host): string[] => zones.filter(zone => sharing.isZoneSilent(zone, now)),
	};
}

describe('hundreds of hosts that share loads', () => {
	for (const count of [100, 200, 400]) {
		it(`stay within the budget of control at ${count} hosts`, async t => {
			const fleet = await startHosts(count);
			fleet.pass(15 * msPerSecond);
			const {messages, bytes} = fleet.measure(5 * msPerSecond);
			t.diagnostic(`${messages.toFixed(1)} messages, ${(bytes / bytesPerKibibyte).toFixed(2)} KB a second and host`);
			assert.ok(bytes <= bytesOfHost, `${bytes} bytes a second`);
		});
	}

	it('answer a host that just started at once, not with their next round', async () => {
		const fleet = await startHosts(200);
		fleet.pass(15 * msPerSecond);
		const newcomer = await fleet.startOne();
		fleet.pass(3 * stepMs);
		assert.ok(fleet.heardBy(newcomer).length > 0);
	});

	it('hear their own zone and the others, also after half of them and a zone were killed at one moment', async () => {
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
});
