import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type QuotaMessage, type QuotaVerdict} from '../../ports/quotas.js';
import {createWorkspaceQuotas, type WorkspaceQuotas} from './index.js';

const keeper = '10.0.0.1:7380';
const successor = '10.0.0.2:7380';
const third = '10.0.0.3:7380';
const ranking = [keeper, successor, third];
const rate = {perSecond: 100, burst: 100};

type Settings = {startedAt?: number; isAlone?: boolean; reachedShare?: number};

/** Creates hosts whose messages arrive at once, except those to lost hosts. */
function createHosts(settings: Partial<Record<string, Settings>> = {}) {
	const lost = new Set<string>();
	const sent: Array<{message: QuotaMessage; to: string}> = [];
	const hosts = new Map<string, WorkspaceQuotas>();
	const time = {now: 100_000};
	for (const self of ranking) {
		const {startedAt = 0, isAlone = false, reachedShare = 1} = settings[self] ?? {};
		hosts.set(self, createWorkspaceQuotas({
			self,
			startedAt,
			peers: {
				rankKeepers: () => ranking, toReachedShare: () => reachedShare, toZoneShare: () => 0.25, count: () => 10, isAlone: () => isAlone,
			},
			send(message, to) {
				sent.push({message, to});
				if (!lost.has(to)) {
					hosts.get(to)!.receive(message, self, time.now);
				}
			},
		}));
	}

	function take(host: string, cost: number): QuotaVerdict | undefined {
		const quotas = hosts.get(host)!;
		const settled: QuotaVerdict[] = [];
		quotas.take({
			workspace: 'w', cost, edition: 1, rate,
		}, time.now, verdict => {
			settled.push(verdict);
		});
		for (let dueAt = quotas.dueAt(); dueAt !== undefined; dueAt = quotas.dueAt()) {
			time.now = dueAt;
			quotas.tick(time.now);
		}

		return settled[0];
	}

	/** Takes requests of the same cost until one is refused; returns how many were granted. */
	function countGranted(host: string, cost: number): number {
		let count = 0;
		while (take(host, cost)?.isGranted) {
			count++;
		}

		return count;
	}

	return {
		lost, sent, time, hosts, take, countGranted,
	};
}

describe('createWorkspaceQuotas', () => {
	it('grants the burst once over all hosts', () => {
		const {take, countGranted} = createHosts();
		assert.equal(countGranted(third, 25), 4);
		assert.deepEqual([take(successor, 25)?.isGranted, take(keeper, 25)?.isGranted], [false, false]);
	});

	it('denies what costs as much without another question until there is room', () => {
		const {sent, time, take, countGranted} = createHosts();
		countGranted(third, 25);
		const count = sent.length;
		const denied = take(third, 30);
		assert.equal(denied?.isGranted, false);
		assert.equal(sent.length, count);
		time.now += denied.waitMs + 1;
		assert.equal(take(third, 25)?.isGranted, true);
	});

	it('gives back what was not run', () => {
		const {hosts, time, take, countGranted} = createHosts();
		countGranted(third, 25);
		hosts.get(third)!.giveBack({
			workspace: 'w', cost: 50, edition: 1, rate,
		}, time.now);
		assert.equal(take(successor, 25)?.isGranted, true);
	});

	it('asks for a smaller request, and still denies the larger one afterwards', () => {
		const {sent, take, countGranted} = createHosts();
		countGranted(third, 25);
		take(third, 1);
		const count = sent.length;
		assert.equal(take(third, 30)?.isGranted, false);
		assert.equal(sent.length, count);
	});

	// Guards against a second burst from the host that takes over from a lost keeper.
	it('lets the next host in the ranking go on where the keeper stopped', () => {
		const {lost, countGranted} = createHosts();
		countGranted(third, 25);
		lost.add(keeper);
		// A little room comes back while the keeper is waited for.
		assert.ok(countGranted(third, 25) <= 1);
	});

	// Guards against a whole limit on each side of a cut.
	it('grants the share of the hosts that the keeper reaches', () => {
		const {countGranted} = createHosts({[keeper]: {reachedShare: 0.5}});
		assert.equal(countGranted(keeper, 25), 2);
	});

	it('grants a part of the equal part on a host that reaches no other', () => {
		const {sent, countGranted} = createHosts({[third]: {isAlone: true}});
		assert.equal(countGranted(third, 3), 2);
		assert.deepEqual(sent, []);
	});

	it('grants the zone\'s part where neither of the first two hosts answers', () => {
		const {lost, hosts, time, countGranted} = createHosts();
		lost.add(keeper);
		lost.add(successor);
		for (const _ of [1, 2]) {
			hosts.get(third)!.take({
				workspace: 'other', cost: 1, edition: 1, rate,
			}, time.now, () => undefined);
			time.now += 100;
			hosts.get(third)!.tick(time.now);
			time.now += 100;
			hosts.get(third)!.tick(time.now);
		}

		assert.equal(countGranted(third, 5), 5);
	});

	// Guards against a host that has just started, knows nothing of the use, and grants a burst again.
	for (const [name, asker] of [['of another host', third], ['of its own', keeper]] as const) {
		it(`lets the successor decide a request ${name} while the keeper has just started`, () => {
			const {sent, countGranted} = createHosts({[keeper]: {startedAt: 99_000}});
			assert.equal(countGranted(asker, 25), 1);
			assert.ok(sent.some(({message, to}) => message.kind === 'ask' && message.isFinal && to === successor));
		});
	}
});
