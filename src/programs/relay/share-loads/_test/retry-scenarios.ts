/** What happens to hosts that spend their retries, in virtual time. */
import {type Milliseconds} from '../../../../ports/clock.js';
import {msPerSecond} from '../../../../ports/units.js';
import {windowMs, type RetryFleet as Fleet, type RetryTraffic as Traffic} from './create-retry-traffic.js';
import {type Host} from './start-hosts.js';

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

export type RetryScenario = {name: string; run: (fleet: Fleet, traffic: Traffic) => Promise<void>};

export const retryScenarios: readonly RetryScenario[] = [
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
