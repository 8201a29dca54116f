import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../_test/create-random.js';
import {createQuotaKeeper} from './index.js';

const longAgo = {startedAt: -Infinity, startupMs: 10_000};
const rate = {perSecond: 36_000, burst: 36_000};
const whole = {share: 1};

const toSpend = (cost: number, over: Partial<{edition: number; rate: typeof rate}> = {}) => ({
	workspace: 'w', cost, edition: 1, rate, ...over,
});

describe('createQuotaKeeper', () => {
	it('grants a burst and goes into debt by one request', () => {
		const keeper = createQuotaKeeper(longAgo);
		const granted = Array.from({length: 10}, () => keeper.decide(toSpend(10_000), whole, 0)).filter(({isGranted}) => isGranted);
		assert.equal(granted.length, 4);
	});

	it('says when a request of the same cost will be granted', () => {
		const keeper = createQuotaKeeper(longAgo);
		keeper.decide(toSpend(36_000), whole, 0);
		keeper.decide(toSpend(36_000), whole, 1);
		const {isGranted, waitMs} = keeper.decide(toSpend(36_000), whole, 1);
		assert.equal(isGranted, false);
		assert.equal(keeper.decide(toSpend(36_000), whole, waitMs - 1).isGranted, false);
		assert.equal(keeper.decide(toSpend(36_000), whole, waitMs + 1).isGranted, true);
	});

	it('grants its share of a limit alone', () => {
		const keeper = createQuotaKeeper(longAgo);
		const countGranted = (now: number) => Array.from({length: 10}, () => keeper.decide(toSpend(3000), {share: 0.25}, now)).filter(({isGranted}) => isGranted).length;
		assert.equal(countGranted(0), 3);
		assert.equal(countGranted(500), 2, 'half of its share of the rate');
	});

	for (const [name, keeper, decision] of [
		['after a start', createQuotaKeeper({startedAt: 0, startupMs: 10_000}), whole],
		['in place of another host', createQuotaKeeper(longAgo), {...whole, isSubstitute: true}],
	] as const) {
		// Guards against a second burst from a host that does not know of the first.
		it(`grants a quarter of the burst ${name}`, () => {
			const granted = Array.from({length: 10}, () => keeper.decide(toSpend(3000), decision, 0)).filter(({isGranted}) => isGranted);
			assert.equal(granted.length, 3);
		});
	}

	it('applies the limit of the latest edition, from whichever host it is told', () => {
		const keeper = createQuotaKeeper(longAgo);
		const low = {perSecond: 1000, burst: 1000};
		keeper.decide(toSpend(100), whole, 0);
		keeper.decide(toSpend(100, {edition: 2, rate: low}), whole, 0);
		keeper.decide(toSpend(1000), whole, 0);
		assert.equal(keeper.decide(toSpend(100), whole, 0).isGranted, false);
		const granted = Array.from({length: 40}, () => keeper.decide(toSpend(100), whole, 2000)).filter(({isGranted}) => isGranted);
		assert.equal(granted.length, 10, 'the burst of the later edition came back');
	});

	it('counts what other hosts granted, and what is given back', () => {
		const keeper = createQuotaKeeper(longAgo);
		keeper.note(toSpend(18_000), 0);
		keeper.note(toSpend(18_000), 0);
		assert.equal(keeper.decide(toSpend(18_000), whole, 0).isGranted, false);
		keeper.note(toSpend(-10_000), 0);
		assert.equal(keeper.decide(toSpend(18_000), whole, 0).isGranted, true);
	});

	// Guards against lookups refused for the prompts of the same workspace, which use twenty times as much.
	it('grants small requests of a workspace that asks a quarter more than its limit, and keeps the limit', () => {
		const keeper = createQuotaKeeper(longAgo);
		const random = createRandom(1);
		const small = {asked: 0, granted: 0};
		let granted = 0;
		let now = 0;
		while (now < 20_000) {
			now -= Math.log(1 - random()) * 1000 / 38;
			const isSmall = random() < 0.8;
			const cost = isSmall ? 200 : 5500;
			const {isGranted} = keeper.decide(toSpend(cost), whole, now);
			granted += isGranted ? cost : 0;
			small.asked += isSmall ? 1 : 0;
			small.granted += isSmall && isGranted ? 1 : 0;
		}

		assert.ok(granted <= rate.burst + (rate.perSecond * now / 1000) + 5500, `${granted} tokens`);
		assert.ok(small.granted >= 0.98 * small.asked, `${small.granted} of ${small.asked}`);
	});

	// Guards against a second burst for a workspace that is forgotten too early.
	it('keeps what a workspace used while it forgets others', () => {
		const keeper = createQuotaKeeper(longAgo);
		const spent = {...toSpend(36_000), workspace: 'busy', rate: {perSecond: 1, burst: 36_000}};
		keeper.decide(spent, whole, 0);
		for (let i = 0; i < 2000; i++) {
			keeper.decide({...toSpend(10), workspace: `w${i}`}, whole, i * 10);
		}

		assert.ok(keeper.size() <= 512, String(keeper.size()));
		assert.equal(keeper.decide(spent, whole, 20_000).isGranted, true, '20 units came back');
		assert.equal(keeper.decide(spent, whole, 20_000).isGranted, false);
	});

	it('forgets workspaces that use nothing', () => {
		const keeper = createQuotaKeeper(longAgo);
		for (let i = 0; i < 2000; i++) {
			keeper.decide({...toSpend(10), workspace: `w${i}`}, whole, i * 10);
		}

		assert.ok(keeper.size() <= 512, String(keeper.size()));
	});
});
