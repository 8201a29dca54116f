import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type QuotaMessage, type QuotaVerdict} from '../../ports/quotas.js';
import {createWorkspaceQuotas, type WorkspaceQuotas} from './index.js';

const keeper = '10.0.0.1:7380';
const successor = '10.0.0.2:7380';
const third = '10.0.0.3:7380';
const ranking = [keeper, successor, third];
const rate = {perSecond: 100, burst: 100};

type Settings = {startedAt?: number; isAlone?: boolean; reachedShare?: number; count?: number | undefined};

/** So slow that no room comes back while a lost host is waited for. */
const slow = {perSecond: 0.01, burst: 100};

/** Creates hosts whose messages arrive at once, except those to lost hosts. */
function createHosts(settings: Partial<Record<string, Settings>> = {}) {
	const lost = new Set<string>();
	const sent: Array<{message: QuotaMessage; to: string}> = [];
	const hosts = new Map<string, WorkspaceQuotas>();
	const time = {now: 100_000};
	for (const self of ranking) {
		const {startedAt = 0, isAlone = false, reachedShare = 1, ...own} = settings[self] ?? {};
		const count = 'count' in own ? own.count : 10;
		hosts.set(self, createWorkspaceQuotas({
			self,
			startedAt,
			peers: {
				rankKeepers: () => ranking, toReachedShare: () => reachedShare, toZoneShare: () => 0.25, count: () => count, isAlone: () => isAlone,
			},
			send(message, to) {
				sent.push({message, to});
				if (!lost.has(to)) {
					hosts.get(to)!.receive(message, self, time.now);
				}
			},
		}));
	}

	function take(host: string, cost: number, limit = rate, {isScarce = false} = {}): QuotaVerdict | undefined {
		const quotas = hosts.get(host)!;
		const settled: QuotaVerdict[] = [];
		quotas.take({
			workspace: 'w', cost, edition: 1, rate: limit, isScarce,
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
	function countGranted(host: string, cost: number, limit = rate): number {
		let count = 0;
		while (take(host, cost, limit)?.isGranted) {
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
		const before = sent.length;
		take(third, 1);
		const count = sent.length;
		assert.ok(count > before);
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

	it('lets the next host grant nothing more if no room came back', () => {
		const {lost, countGranted} = createHosts();
		assert.equal(countGranted(third, 25, slow), 4);
		lost.add(keeper);
		assert.equal(countGranted(third, 25, slow), 0);
	});

	it('tells the successor each grant, and nothing of a denial', () => {
		const {sent, countGranted} = createHosts();
		countGranted(third, 25, slow);
		const told = sent.filter(({message}) => message.kind === 'spent');
		assert.deepEqual(told.map(({message, to}) => [message.kind === 'spent' && message.spend.cost, to]), Array.from({length: 4}, () => [25, successor]));
	});

	it('asks the successor to decide itself once the keeper is lost, which then grants a quarter of the burst', () => {
		const {lost, sent, countGranted} = createHosts();
		lost.add(keeper);
		assert.equal(countGranted(third, 10, slow), 3);
		const asked = sent.flatMap(({message, to}) => message.kind === 'ask' ? [[to, message.isFinal, message.skipped]] : []);
		assert.deepEqual(asked.slice(0, 2), [[keeper, false, 0], [successor, true, 1]]);
		assert.deepEqual(asked.at(-1), [successor, true, 1]);
	});

	it('decides as a substitute on the successor itself once the keeper is lost', () => {
		const {lost, sent, countGranted} = createHosts();
		lost.add(keeper);
		assert.equal(countGranted(successor, 10, slow), 3);
		assert.deepEqual(sent.filter(({message}) => message.kind === 'ask').map(({to}) => to), [keeper, keeper]);
	});

	it('decides alone after two unanswered questions', () => {
		const {lost, sent, take} = createHosts();
		lost.add(keeper);
		lost.add(successor);
		assert.equal(take(third, 6, slow)?.isGranted, true);
		assert.deepEqual(sent.map(({to}) => to), [keeper, successor]);
		assert.equal(take(third, 6, slow)?.isGranted, false, 'its part of the equal part is spent');
	});

	it('passes a question on to the host that it ranks first, which answers the one that asked', () => {
		const {hosts, sent, time} = createHosts();
		const spend = {
			workspace: 'w', cost: 5, edition: 1, rate,
		};
		hosts.get(successor)!.receive({
			kind: 'ask', id: 7, origin: third, spend, isFinal: false, skipped: 0, successor: keeper,
		}, third, time.now);
		assert.deepEqual(sent.map(({message, to}) => [message.kind, to]), [['ask', keeper], ['spent', successor], ['verdict', third]]);
		const {message} = sent[0]!;
		assert.ok(message.kind === 'ask' && message.isFinal);
	});

	for (const [name, named] of [['names no other', ''], ['names it', keeper]] as const) {
		it(`decides although it has just started if the host that asks ${name}`, () => {
			const {hosts, sent, time} = createHosts({[keeper]: {startedAt: 99_000}});
			hosts.get(keeper)!.receive({
				kind: 'ask', id: 7, origin: third, spend: {
					workspace: 'w', cost: 5, edition: 1, rate,
				}, isFinal: false, skipped: 0, successor: named,
			}, third, time.now);
			assert.deepEqual(sent.map(({message, to}) => [message.kind, to]), [['spent', successor], ['verdict', third]]);
		});
	}

	it('answers its own question when it comes back to it', () => {
		const {lost, hosts, sent, time} = createHosts();
		lost.add(keeper);
		const verdicts: boolean[] = [];
		const spend = {
			workspace: 'w', cost: 5, edition: 1, rate,
		};
		hosts.get(third)!.take(spend, time.now, ({isGranted}) => {
			verdicts.push(isGranted);
		});
		const message = sent[0]!.message as Extract<QuotaMessage, {kind: 'ask'}>;
		hosts.get(third)!.receive({...message, isFinal: true}, successor, time.now);
		assert.deepEqual(verdicts, [true]);
		assert.equal(hosts.get(third)!.dueAt(), undefined);
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

	it('grants the whole limit on the only host', () => {
		const {sent, countGranted} = createHosts({[third]: {isAlone: true, count: 1}});
		assert.equal(countGranted(third, 25, slow), 4);
		assert.deepEqual(sent, []);
	});

	for (const [startedAt, granted] of [[90_001, 1], [90_000, 4]] as const) {
		it(`grants ${granted === 1 ? 'the part of one of twenty hosts' : 'the whole limit'} ${100_000 - startedAt} ms after the start of a host that heard of no other`, () => {
			const {countGranted} = createHosts({[third]: {isAlone: true, count: undefined, startedAt}});
			assert.equal(countGranted(third, 25, slow), granted);
		});
	}

	/* Guards against a server that gets a request from each host at once while the host that counts its requests is lost. */
	it('grants none of a scarce limit at once where it decides alone, and later its part', () => {
		const {take, time} = createHosts({[third]: {isAlone: true}});
		const limit = {perSecond: 5, burst: 5};
		assert.deepEqual(take(third, 1, limit, {isScarce: true}), {isGranted: false, waitMs: 3334});
		let granted = 0;
		const from = time.now;
		for (; time.now < from + 100_000; time.now += 100) {
			granted += take(third, 1, limit, {isScarce: true})!.isGranted ? 1 : 0;
		}

		assert.ok(granted >= 28 && granted <= 30, `${granted} of 30`);
	});

	it('gives back to the keeper and its successor alone', () => {
		const {hosts, sent, time, take, countGranted} = createHosts();
		countGranted(third, 25, slow);
		const before = sent.length;
		hosts.get(keeper)!.giveBack({
			workspace: 'w', cost: 50, edition: 1, rate: slow,
		}, time.now);
		assert.deepEqual(sent.slice(before).map(({to}) => to), [successor]);
		assert.equal(take(successor, 25, slow)?.isGranted, true);
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
		// What comes back in a second is the zone's part of the rate as well.
		time.now += 1000;
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
