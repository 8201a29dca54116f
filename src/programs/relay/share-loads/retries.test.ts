/*
 * Guards against hosts that together exceed the retry budget of a service: hosts
 * that have just started, that replace a host which spent its share, or that are
 * cut off from others.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../../../domain/_test/create-random.js';
import {createRetryBudget, type FailedAttempt, type RetryBudget} from '../../../domain/create-retry-budget/index.js';
import {toRetryShare, type RetryLimits} from '../../../domain/to-retry-share/index.js';
import {type Milliseconds} from '../../../ports/clock.js';
import {msPerSecond} from '../../../ports/units.js';
import {startHosts, stepMs, type Host} from './_test/start-hosts.js';

const windowMs: Milliseconds = 10 * msPerSecond;
/** Request rate of each host, and the number of requests that return at once to a restarted host. */
const requestsPerSecond = 0.6;
const returningRequests = 8;

/** Time between the start of a host and the return of its callers. */
const returnAfterMs: Milliseconds = 0.5 * msPerSecond;

const failed: FailedAttempt = {
	repeatable: true, bytesOffered: 1, outcome: 'may-have-run', attempt: 1, maxAttempts: 2, deadline: Infinity, expectedMs: 0, tried: [],
};

const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);

type Fleet = Awaited<ReturnType<typeof startHosts>>;

/** Simulates requests of all hosts to one service, a share of which fails, and their retries. */
function createTraffic(fleet: Fleet, limits: RetryLimits, failShare: number) {
	const random = createRandom(7);
	const budgets = new Map<Host, RetryBudget>();
	const requests: number[] = [];
	const retries: number[] = [];

	function toBudget(host: Host): RetryBudget {
		const budget = budgets.get(host) ?? createRetryBudget(toRetryShare(limits, host.sharing.countSharers, {startedAt: host.startedAt}));
		budgets.set(host, budget);
		return budget;
	}

	/** Makes one request of a host; returns whether it was retried. */
	function request(host: Host): boolean {
		const budget = toBudget(host);
		if (random() >= failShare) {
			budget.noteSuccess(fleet.now());
			return false;
		}

		return budget.takeRetry(failed, fleet.now(), random).kind === 'retry';
	}

	function spendBudget(budget: RetryBudget): number {
		let granted = 0;
		while (budget.takeRetry(failed, fleet.now(), random).kind === 'retry') {
			granted++;
		}

		return granted;
	}

	function send(hosts: readonly Host[]): void {
		requests.push(hosts.length);
		retries.push(hosts.filter(host => request(host)).length);
	}

	return {
		/** Makes each host spend its whole retry budget, with no more requests than that takes. */
		spendAll() {
			fleet.pass(stepMs);
			const granted = fleet.hosts.filter(({isDead}) => !isDead).map(host => spendBudget(toBudget(host)));
			requests.push(sum(granted));
			retries.push(sum(granted));
		},
		/** Advances time without requests. */
		idle(ms: Milliseconds) {
			const until = fleet.now() + ms;
			while (fleet.now() < until) {
				fleet.pass(stepMs);
				send([]);
			}
		},
		pass(ms: Milliseconds) {
			const until = fleet.now() + ms;
			while (fleet.now() < until) {
				fleet.pass(stepMs);
				send(fleet.hosts.filter(({isDead}) => !isDead && random() < requestsPerSecond * stepMs / msPerSecond));
			}
		},
		/** Makes the callers of some hosts come back at once. */
		returnCallers(hosts: readonly Host[]) {
			for (let i = 0; i < returningRequests; i++) {
				fleet.pass(stepMs);
				send(hosts);
			}
		},
		/** Returns the greatest number of retries beyond the allowed ones in any window. */
		toMaxExcess(): number {
			const steps = windowMs / stepMs;
			const sumFrom = (counts: readonly number[], from: number) => sum(counts.slice(from, from + steps));
			const over = retries.map((_, from) => sumFrom(retries, from) - (limits.retryRatio * sumFrom(requests, from)) - limits.retrySlack);
			return Math.max(...over);
		},
		sent: () => sum(retries),
	};
}

type Traffic = ReturnType<typeof createTraffic>;

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
				it(`stay within the ratio and the slack at ${hosts} hosts ${name}, ${failShare} of the calls failing`, async () => {
					const fleet = await startHosts(hosts);
					const traffic = createTraffic(fleet, {retryRatio: 0.2, retrySlack, retryWindow: windowMs}, failShare);
					await run(fleet, traffic);
					assert.ok(traffic.toMaxExcess() <= 0, `${traffic.toMaxExcess()} too many`);
					assert.ok(traffic.sent() >= hosts, `${traffic.sent()} by ${hosts} hosts: too careful`);
				});
			}
		}
	}
});
