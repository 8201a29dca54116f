/*
 * Guards against workspaces that use more than their limit over all hosts, while
 * hosts or zones are cut off, killed, added or restarted; and against refusals below
 * the limit.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../../../domain/_test/create-random.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {type BucketRate} from '../../../ports/quotas.js';
import {msPerSecond} from '../../../ports/units.js';
import {createLimitTraffic, type Fleet} from './_test/create-limit-traffic.js';
import {startHosts} from './_test/start-hosts.js';

/** What may be used in any window beyond rate and burst: a quarter, and a fixed number of tokens. */
const bound = {windowMs: 8 * msPerSecond, overshoot: 0.25, slack: 140_000};

const limits: Readonly<Record<string, BucketRate>> = {
	large: {perSecond: 278_335, burst: 278_335},
	small: {perSecond: 36_000, burst: 36_000},
};

const settleMs: Milliseconds = 15 * msPerSecond;

async function startFleet(count: number, seed: number, lossShare = 0.005): Promise<Fleet> {
	const fleet = await startHosts(count, {lossShare, random: createRandom(seed)});
	fleet.pass(settleMs);
	return fleet;
}

type Trouble = {name: string; play: (fleet: Fleet, pass: (ms: Milliseconds) => void) => Promise<void> | void};

const troubles: readonly Trouble[] = [
	{
		name: 'nothing else happens', play(_, pass) {
			pass(12_000);
		},
	},
	{
		name: 'a zone is cut off and comes back', play(fleet, pass) {
			pass(4000);
			fleet.cutZone('c');
			pass(9000);
			fleet.heal();
			pass(9000);
		},
	},
	{
		name: 'a third of the hosts is cut off and comes back', play(fleet, pass) {
			pass(4000);
			for (const host of fleet.hosts.filter((_, i) => i % 3 === 0)) {
				fleet.cut(host);
			}

			pass(12_000);
			fleet.heal();
			pass(9000);
		},
	},
	{
		name: 'a tenth of the hosts is killed and replaced', async play(fleet, pass) {
			pass(4000);
			const killed = fleet.hosts.filter((_, i) => i % 10 === 0);
			for (const host of killed) {
				fleet.kill(host);
			}

			pass(3000);
			for (const host of killed) {
				await fleet.restart(host);
			}

			pass(9000);
		},
	},
	{
		name: 'all hosts are killed and replaced within a second', async play(fleet, pass) {
			pass(4000);
			for (const host of fleet.hosts) {
				fleet.kill(host);
			}

			fleet.pass(1000);
			for (const host of fleet.hosts) {
				await fleet.restart(host);
			}

			pass(12_000);
		},
	},
	{
		name: 'half as many hosts are added', async play(fleet, pass) {
			pass(4000);
			const count = fleet.hosts.length / 2;
			for (let i = 0; i < count; i++) {
				await fleet.startOne();
			}

			pass(12_000);
		},
	},
	{
		name: 'a zone is cut off while a tenth of the hosts is killed and replaced', async play(fleet, pass) {
			pass(4000);
			fleet.cutZone('a');
			pass(2000);
			const killed = fleet.hosts.filter((_, i) => i % 10 === 0);
			for (const host of killed) {
				fleet.kill(host);
			}

			pass(1500);
			for (const host of killed) {
				await fleet.restart(host);
			}

			pass(6000);
			fleet.heal();
			pass(9000);
		},
	},
];

const seeds = [1, 2, 3];

describe('limits of workspaces over 58 hosts', () => {
	for (const [size, rate] of Object.entries(limits)) {
		for (const {name, play} of troubles) {
			it(`hold for a ${size} workspace that asks ten times as much while ${name}`, async t => {
				for (const seed of seeds) {
					const fleet = await startFleet(58, seed);
					const traffic = createLimitTraffic({fleet, rate, seed});
					await play(fleet, ms => {
						traffic.pass(ms, 10);
					});
					const use = traffic.toMaxUse(bound);
					t.diagnostic(`seed ${seed}: ${use.toFixed(3)} of what is allowed, ${traffic.toUsedShare(settleMs).toFixed(3)} of the rate`);
					assert.ok(use <= 1, `seed ${seed}: ${use}`);
				}
			});
		}
	}

	it('hold in the first window after a limit was lowered to a quarter', async () => {
		const fleet = await startFleet(58, 1);
		const traffic = createLimitTraffic({fleet, rate: limits.large!});
		traffic.pass(4000, 0.9);
		traffic.setRate({perSecond: limits.large!.perSecond / 4, burst: limits.large!.burst / 4});
		const since = fleet.now();
		traffic.pass(12_000, 3.6);
		assert.ok(traffic.toMaxUse({...bound, since}) <= 1);
	});
});

describe('a workspace below its limit', () => {
	const cases: ReadonlyArray<{name: string; count: number; maxRefused: number; isReceiver: (zone: string, i: number) => boolean}> = [
		{
			name: 'through all of 58 hosts', count: 58, maxRefused: 0.005, isReceiver: () => true,
		},
		{
			name: 'through one of 58 hosts', count: 58, maxRefused: 0.005, isReceiver: (_, i) => i === 7,
		},
		{
			name: 'through one zone of 58 hosts', count: 58, maxRefused: 0.005, isReceiver: zone => zone === 'b',
		},
		{
			name: 'through all of 400 hosts', count: 400, maxRefused: 0.01, isReceiver: () => true,
		},
	];
	for (const {name, count, maxRefused, isReceiver} of cases) {
		it(`is not refused ${name}, also after hosts were restarted and added`, async t => {
			for (const [size, rate] of Object.entries(limits)) {
				const fleet = await startFleet(count, 1);
				const since = fleet.now();
				const traffic = createLimitTraffic({fleet, rate, toHosts: () => fleet.hosts.filter(({zone}, i) => isReceiver(zone, i))});
				traffic.pass(22_000, 0.95);
				await fleet.restart(fleet.hosts[3]!);
				await fleet.restart(fleet.hosts[17]!);
				await fleet.startOne();
				traffic.pass(22_000, 0.95);
				const refused = traffic.toRefusedShare(since);
				t.diagnostic(`${size}: ${(100 * refused).toFixed(2)} % refused`);
				assert.ok(refused < maxRefused, `${size}: ${refused}`);
			}
		});
	}
});
