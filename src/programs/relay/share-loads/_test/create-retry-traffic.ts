/** Requests to one service over several hosts, a part of which fails and is retried. */
import {pickRanked} from '../../../../_lib/pick-ranked/index.js';
import {createRandom} from '../../../../domain/_test/create-random.js';
import {createRetryBudget, type FailedAttempt, type RetryBudget} from '../../../../domain/create-retry-budget/index.js';
import {createSharedRetries, type SharedRetries} from '../../../../domain/create-shared-retries/index.js';
import {toRetryShare, type RetryLimits} from '../../../../domain/to-retry-share/index.js';
import {type Milliseconds} from '../../../../ports/clock.js';
import {msPerSecond} from '../../../../ports/units.js';
import {type startHosts, stepMs, type Host} from './start-hosts.js';

/** Window over which retries are counted. */
export const windowMs: Milliseconds = 10 * msPerSecond;

/** Request rate of each host, and the number of requests that return at once to a restarted host. */
const requestsPerSecond = 0.6;
const returningRequests = 8;

const failed: FailedAttempt = {
	repeatable: true, bytesOffered: 1, outcome: 'may-have-run', attempt: 1, maxAttempts: 2, deadline: Infinity, expectedMs: 0, tried: [],
};

const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);

export type RetryFleet = Awaited<ReturnType<typeof startHosts>>;

/** Simulates requests of all hosts to one service, a share of which fails, and their retries. */
export function createRetryTraffic(fleet: RetryFleet, limits: RetryLimits, {failShare, isShared, seed = 7}: {failShare: number; isShared: boolean; seed?: number}) {
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

export type RetryTraffic = ReturnType<typeof createRetryTraffic>;
