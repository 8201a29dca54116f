/*
 * Guards against hosts that together exceed the retry budget of a service: hosts
 * that have just started, that replace a host which spent its share, or that are
 * cut off from others.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {pickRanked} from '../../../_lib/pick-ranked/index.js';
import {createRandom} from '../../../domain/_test/create-random.js';
import {createRetryBudget, type FailedAttempt, type RetryBudget} from '../../../domain/create-retry-budget/index.js';
import {createSharedRetries, type SharedRetries} from '../../../domain/create-shared-retries/index.js';
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
function createTraffic(fleet: Fleet, limits: RetryLimits, {failShare, isShared, seed = 7}: {failShare: number; isShared: boolean; seed?: number}) {
	const random = createRandom(seed);
	const accounts = new Map<Host, {budget: RetryBudget; shared: SharedRetries}>();
	const steps: Array<{requests: number; retries: number}> = [];
	let failedCount = 0;

	function createAccount({sharing, startedAt}: Host) {
		const share = toRetryShare(limits, sharing.countSharers, {startedAt, isShared});
		const shared = createSharedRetries({toPart: share.toSharedPart});
		const budget = createRetryBudget({
			...share, onSurplus(surplus, now) {
				const spend = shared.addSurplus('model', surplus, now);
				if (spend !== undefined) {
					sharing.quotas.giveBack(spend, now);
				}
			},
		});
		return {budget, shared};
	}

	function toAccount(host: Host) {
		const account = accounts.get(host) ?? createAccount(host);
		accounts.set(host, account);
		return account;
	}

	/** Asks for one of the shared retries; one that is granted later counts in the step of its grant. */
	function askForShared(host: Host): {isGranted: boolean} {
		const answer = {isGranted: false};
		const spend = toAccount(host).shared.toSpend('model', 1, fleet.now());
		if (spend !== undefined) {
			host.sharing.quotas.take(spend, fleet.now(), ({isGranted}) => {
				answer.isGranted = isGranted;
				steps.at(-1)!.retries += isGranted ? 1 : 0;
			});
		}

		return answer;
	}

	/** Retries a failed request of a host if it can be paid. */
	function retry(host: Host): boolean {
		const isRetried = toAccount(host).budget.takeRetry(failed, fleet.now(), random).kind === 'retry';
		steps.at(-1)!.retries += isRetried ? 1 : 0;
		return isRetried || askForShared(host).isGranted;
	}

	function request(host: Host): void {
		steps.at(-1)!.requests++;
		if (random() < failShare) {
			failedCount++;
			retry(host);
		} else {
			toAccount(host).budget.noteSuccess(fleet.now());
		}
	}

	function begin(): void {
		steps.push({requests: 0, retries: 0});
	}

	function send(hosts: readonly Host[]): void {
		begin();
		for (const host of hosts) {
			request(host);
		}
	}

	return {
		/** Makes each host spend its whole retry budget, with no more requests than that takes. */
		spendAll() {
			fleet.pass(stepMs);
			begin();
			for (const host of fleet.hosts.filter(({isDead}) => !isDead)) {
				do {
					steps.at(-1)!.requests++;
				} while (retry(host));
			}
		},
		/** Makes requests that succeed at each host. */
		succeed(count: number) {
			fleet.pass(stepMs);
			begin();
			for (const host of fleet.hosts.filter(({isDead}) => !isDead)) {
				for (let i = 0; i < count; i++) {
					steps.at(-1)!.requests++;
					toAccount(host).budget.noteSuccess(fleet.now());
				}
			}
		},
		/** Returns the living host that counts the shared retries. */
		findKeeper(): Host {
			const living = fleet.hosts.filter(({isDead}) => !isDead);
			const [address] = pickRanked('\nretries model', living.map(host => host.address), 1);
			return living.find(host => host.address === address)!;
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
			const over = steps.map((_, from) => {
				const window = steps.slice(from, from + (windowMs / stepMs));
				return sum(window.map(({retries}) => retries)) - (limits.retryRatio * sum(window.map(({requests}) => requests))) - limits.retrySlack;
			});
			return Math.max(...over);
		},
		failed: () => failedCount,
		sent: () => sum(steps.map(({retries}) => retries)),
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
						const traffic = createTraffic(fleet, {retryRatio: 0.2, retrySlack, retryWindow: windowMs}, {failShare, isShared});
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
		const traffic = createTraffic(fleet, limits, {failShare: 0.4, isShared, seed});
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
