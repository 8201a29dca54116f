import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toSeededRandom} from '../create-placement/_lib/fixtures.js';
import {runRollout, type RolloutOptions} from './_test/rollout-model.js';

/*
 * Each case is a rollout on a logical clock that has no fault, and has one when
 * a safeguard is disabled.
 */
describe('the safeguards of orders', () => {
	const zones = [{prefills: 2, decodes: 2}, {prefills: 2, decodes: 2}];
	const twoEditions = [{at: 1000, version: 'v2'}, {at: 40_000, version: 'v3'}];
	const run = (options: Partial<RolloutOptions>) => runRollout({
		zones, random: () => 0.5, editions: twoEditions, endAt: 200_000, ...options,
	});
	type SafeguardCase = {
		name: string;
		scene: Partial<RolloutOptions>;
		takenOut: Partial<RolloutOptions>;
		/** The fault without the safeguard. */
		fault: string;
	};
	const cases: readonly SafeguardCase[] = [
		{
			name: 'the fence: an order that was in flight when its edition was replaced',
			scene: {toTravelMs: (host, now) => host === 1 && now < 40_000 ? 100_000 : 0},
			takenOut: {checksFence: () => false},
			fault: 'older',
		},
		{
			name: 'the age of the own view: a host that is cut off goes on with the previous edition',
			scene: {cut: {from: 35_000, to: 150_000, reachesServers: true}, checksFence: () => false, maxLagMs: 3000},
			takenOut: {limits: {maxConfirmedAgeMs: Infinity}},
			fault: 'older',
		},
		{
			name: 'the age of the own view, also with servers that check fences and have had no order of the next edition',
			scene: {cut: {from: 35_000, to: 150_000, reachesServers: true}, maxLagMs: 3000},
			takenOut: {limits: {maxConfirmedAgeMs: Infinity}},
			fault: 'older',
		},
		{
			name: 'the settle time: a host that receives an edition late goes on with the previous one',
			scene: {toNewsMs: host => host * 8000, checksFence: () => false, maxLagMs: 3000},
			takenOut: {settleMs: 0},
			fault: 'older',
		},
		{
			name: 'the age of the decision: the remaining server goes down while the host is paused',
			scene: {
				zones: [{prefills: 2, decodes: 1}],
				editions: twoEditions.slice(0, 1),
				toPauseMs: () => 4000,
				down: {server: 'z0-p0', from: 21_500, to: 60_000},
			},
			takenOut: {limits: {maxDecisionAgeMs: Infinity}},
			fault: 'pool',
		},
	];
	for (const {
		name, scene, takenOut, fault,
	} of cases) {
		it(name, () => {
			assert.deepEqual(run(scene).faults, []);
			assert.ok(run({...scene, ...takenOut}).faults.some(({kind}) => kind === fault), 'there is no fault without the safeguard');
		});
	}

	/**
	 * Zones of one to three prefill and one to four decode servers, up to three
	 * editions, hosts that receive editions up to 4 s late, see reports up to 3 s late
	 * and pause up to 40 s after one decision in seven, orders in flight for up to 5 s,
	 * and in part of the runs a partition. While a zone with one server in a role has no
	 * pair, another zone has one. The store's rate is exceeded by one load at most:
	 * while an order is in flight, a host that has another view can send another one.
	 */
	it('keep the last pair of each zone and pool and send no order of an older edition, whatever hosts see (property)', () => {
		const toZone = fc.record({prefills: fc.integer({min: 1, max: 3}), decodes: fc.integer({min: 1, max: 4})});
		const toGaps = fc.array(fc.integer({min: 500, max: 90_000}), {maxLength: 2});
		const toCut = fc.option(fc.record({from: fc.integer({min: 0, max: 150_000}), lasts: fc.integer({min: 1000, max: 90_000}), reachesServers: fc.boolean()}), {nil: undefined});
		fc.assert(fc.property(fc.array(toZone, {minLength: 1, maxLength: 3}), toGaps, toCut, fc.integer(), (some, gaps, cut, seed) => {
			const random = toSeededRandom(seed);
			const editions = [{at: 1000, version: 'v2'}];
			for (const [i, gap] of gaps.entries()) {
				editions.push({at: editions.at(-1)!.at + gap, version: `v${i + 3}`});
			}

			const lastAt = Math.max(editions.at(-1)!.at, cut === undefined ? 0 : cut.from + cut.lasts) + 30_000;
			const newsMs = some.map(() => random() * 4000);
			const servers = some.reduce((sum, {prefills, decodes}) => sum + prefills + decodes, 0);
			const {faults, versions} = runRollout({
				zones: some,
				random,
				editions,
				endAt: lastAt + 30_000 + (servers * 30_000),
				...(cut && {cut: {from: cut.from, to: cut.from + cut.lasts, reachesServers: cut.reachesServers}}),
				checksFence: i => i % 2 === 0,
				toPauseMs: (_, now) => now < lastAt && random() < 0.15 ? random() * 40_000 : 0,
				toTravelMs: () => random() < 0.1 ? random() * 5000 : 0,
				toNewsMs: host => newsMs[host]!,
				maxLagMs: 3000,
				toLoadMs: () => 1000 + (random() * 11_000),
				storeSlots: 1 + Math.floor(random() * 2),
				slackLoads: 1,
			});
			assert.deepEqual(faults, []);
			if (some.length > 1) {
				assert.deepEqual([...new Set(Object.values(versions))], [editions.at(-1)!.version], 'the rollout does not finish');
			}
		}), {numRuns: 150});
	});
});
