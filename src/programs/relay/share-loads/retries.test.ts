/*
 * Guards against hosts that together exceed the retry budget of a service: hosts
 * that have just started, that replace a host which spent its share, or that are
 * cut off from others.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type RetryLimits} from '../../../domain/to-retry-share/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {msPerSecond} from '../../../ports/units.js';
import {
	createRetryTraffic, windowMs, type RetryFleet as Fleet, type RetryTraffic as Traffic,
} from './_test/create-retry-traffic.js';
import {startHosts, type Host} from './_test/start-hosts.js';

/** Time between the start of a host and the return of its callers. */
const returnAfterMs: Milliseconds = 0.5 * msPerSecond;

/** Restarts hosts, whose callers return soon afterwards. */
async function restartHosts(fleet: Fleet, traffic: Traffic, hosts: readonly Host[]): Promise<void> {
	const places = hosts.map(host => fleet.hosts.indexOf(host));
	for (const host of hosts) {
		await fleet.restart(host);
	}

	traffic.pass(returnAfterMs);
	traffic.returnCallers(places.map(place => fleet.hosts[place]!));
}

type Scenario = {name: string; run: (fleet: Fleet, traffic: Traffic) => Promise<void>};

const scenarios: Scenario[] = [
	{
		name: 'that all start while the service fails',
		async run(fleet, traffic) {
			traffic.pass(returnAfterMs);
			traffic.returnCallers(fleet.hosts);
			traffic.pass(2 * windowMs);
		},
	},
	{
		name: 'of which half are killed at one moment and started again',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			traffic.pass(3 * msPerSecond);
			const killed = fleet.hosts.filter((_, i) => i % 9 < 5);
			for (const host of killed) {
				fleet.kill(host);
			}

			traffic.pass(2 * msPerSecond);
			await restartHosts(fleet, traffic, killed);
			traffic.pass(windowMs);
		},
	},
	{
		name: 'that are all killed and started again',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			traffic.pass(3 * msPerSecond);
			await restartHosts(fleet, traffic, [...fleet.hosts]);
			traffic.pass(windowMs);
		},
	},
	{
		name: 'that are replaced one after the other',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			const atOnce = Math.ceil(fleet.hosts.length / 10);
			for (let from = 0; from < fleet.hosts.length; from += atOnce) {
				await restartHosts(fleet, traffic, fleet.hosts.slice(from, from + atOnce));
			}

			traffic.pass(windowMs);
		},
	},
	{
		name: 'of which some hear the others only seconds after their start',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			const isLate = (_: Host, i: number) => i % 3 !== 0;
			for (const host of fleet.hosts.filter((host, i) => isLate(host, i))) {
				await fleet.restart(host);
				fleet.cut(host);
			}

			fleet.pass(windowMs);
			fleet.heal();
			traffic.pass(returnAfterMs);
			traffic.returnCallers(fleet.hosts.filter((host, i) => isLate(host, i)));
			traffic.pass(windowMs);
		},
	},
	{
		name: 'of which a zone is cut off for some seconds',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			traffic.pass(2 * msPerSecond);
			for (const host of fleet.hosts.filter(({zone}) => zone === 'a')) {
				fleet.cut(host);
			}

			traffic.pass(8 * msPerSecond);
			fleet.heal();
			traffic.pass(windowMs);
		},
	},
	{
		name: 'that spend their budgets, are killed, and spend them again once they know each other',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			traffic.spendAll();
			for (const host of fleet.hosts) {
				await fleet.restart(host);
			}

			for (let i = 0; i < 20; i++) {
				traffic.idle(msPerSecond);
				traffic.spendAll();
			}
		},
	},
	{
		name: 'that crash repeatedly within a window',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			for (let i = 0; i < 5; i++) {
				traffic.spendAll();
				for (const host of fleet.hosts) {
					await fleet.restart(host);
				}

				traffic.idle(msPerSecond);
			}

			traffic.spendAll();
			traffic.pass(2 * windowMs);
		},
	},
	{
		name: 'of which the keepers of the shared part are killed one after the other, while all spend their budgets',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			for (let i = 0; i < 4; i++) {
				traffic.spendAll();
				fleet.kill(traffic.findKeeper());
				traffic.idle(msPerSecond);
			}

			traffic.spendAll();
			traffic.pass(windowMs);
		},
	},
	{
		name: 'of which a zone is cut off and comes back, while all sides spend their budgets',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			traffic.spendAll();
			fleet.cutZone('a');
			for (let i = 0; i < 6; i++) {
				traffic.idle(msPerSecond);
				traffic.spendAll();
			}

			fleet.heal();
			for (let i = 0; i < 6; i++) {
				traffic.idle(msPerSecond);
				traffic.spendAll();
			}
		},
	},
	{
		name: 'of which a zone is cut off with a full budget, which both sides spend at once',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			fleet.cutZone('a');
			for (let i = 0; i < 12; i++) {
				traffic.spendAll();
				traffic.idle(0.5 * msPerSecond);
			}

			fleet.heal();
			traffic.spendAll();
			traffic.pass(windowMs);
		},
	},
	{
		name: 'that serve many requests, of which a part fails on all hosts at once',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			for (let i = 0; i < 3; i++) {
				for (let second = 0; second < 12; second++) {
					traffic.succeed(3);
					traffic.idle(msPerSecond);
				}

				traffic.pass(3 * msPerSecond);
				traffic.spendAll();
			}
		},
	},
	{
		name: 'of which two zones are cut off for minutes, while all sides spend their budgets',
		async run(fleet, traffic) {
			fleet.pass(15 * msPerSecond);
			for (const host of fleet.hosts.filter(({zone}) => zone === 'a' || zone === 'b')) {
				fleet.cut(host);
			}

			fleet.pass(3 * 60 * msPerSecond);
			traffic.spendAll();
			fleet.heal();
			traffic.pass(windowMs);
		},
	},
];

describe('retries of all hosts together', () => {
	for (const [hosts, retrySlack] of [[7, 54], [74, 188], [195, 430]] as const) {
		for (const {name, run} of scenarios) {
			for (const failShare of hosts > 100 ? [1] : [1, 0.4]) {
				for (const isShared of [false, true]) {
					it(`stay within the ratio and the slack at ${hosts} hosts ${name}, ${failShare} of the calls failing, ${isShared ? 'a part shared' : 'each with an equal part'}`, async t => {
						const fleet = await startHosts(hosts);
						const traffic = createRetryTraffic(fleet, {retryRatio: 0.2, retrySlack, retryWindow: windowMs}, {failShare, isShared});
						await run(fleet, traffic);
						t.diagnostic(`${traffic.sent()} retries, ${Math.round(-traffic.toMaxExcess())} left in the worst window`);
						assert.ok(traffic.toMaxExcess() <= 0, `${traffic.toMaxExcess()} too many`);
						assert.ok(traffic.sent() >= hosts, `${traffic.sent()} by ${hosts} hosts: too careful`);
					});
				}
			}
		}
	}
});

/*
 * Guards against callers who are refused for want of a retry while other hosts leave
 * theirs unspent: for some seconds two of five calls fail on all of some sixty hosts,
 * of which each sees a few.
 */
describe('a burst of failed calls on many hosts', () => {
	const limits: RetryLimits = {retryRatio: 0.2, retrySlack: 156, retryWindow: windowMs};

	async function play(seed: number, isShared: boolean): Promise<{deniedShare: number; excess: number}> {
		const fleet = await startHosts(58);
		fleet.pass(15 * msPerSecond);
		const traffic = createRetryTraffic(fleet, limits, {failShare: 0.4, isShared, seed});
		for (let second = 0; second < 15; second++) {
			traffic.succeed(1);
			traffic.idle(msPerSecond);
		}

		for (let i = 0; i < 6; i++) {
			traffic.pass(msPerSecond);
			traffic.pass(msPerSecond);
			traffic.succeed(1);
		}

		return {deniedShare: 1 - (traffic.sent() / traffic.failed()), excess: traffic.toMaxExcess()};
	}

	it('is retried more often when the hosts share a part of the retries', async t => {
		for (const seed of [1, 2, 3]) {
			const [equal, shared] = [await play(seed, false), await play(seed, true)];
			t.diagnostic(`seed ${seed}: ${(100 * equal.deniedShare).toFixed(1)} % denied with equal parts, ${(100 * shared.deniedShare).toFixed(1)} % with a shared part`);
			assert.ok(shared.deniedShare < equal.deniedShare / 2, `${shared.deniedShare} and ${equal.deniedShare} denied`);
			assert.ok(Math.max(equal.excess, shared.excess) <= 0);
		}
	});
});
