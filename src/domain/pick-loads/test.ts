import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type AcceptedConfig} from '../../ports/config.js';
import {type LoadReport} from '../../ports/engine.js';
import {
	toConfig, toSeededRandom, toServer, toStatus, toView,
} from '../create-placement/_lib/fixtures.js';
import {isOrderAllowed} from '../is-order-allowed/index.js';
import {pickLoads} from './index.js';

const toServers = (count: number) => Array.from({length: count}, (_, i) => toServer(`d${i}`, 'decode', {checksFence: i % 2 === 0}));

const toAccepted = (count: number, version: string, edition = 2, weightStoreBytesPerSecond = 1e9): AcceptedConfig => {
	const config = toConfig(toServers(count), {weightStoreBytesPerSecond});
	return {version: {edition, revision: edition, digest: `${edition}`}, config: {...config, pools: config.pools.map(pool => ({...pool, version: pool.model && version}))}, text: ''};
};

const toFleet = (accepted: AcceptedConfig, changes: Readonly<Record<string, Partial<LoadReport>>> = {}, at = 100_000) =>
	toView(accepted.config, accepted.config.servers.map(entry => toStatus(entry, at, changes[entry.id])));

const settled = {acceptedAt: 0};

describe('pickLoads', () => {
	it('asks for nothing when all is as wanted', () => {
		const accepted = toAccepted(4, 'v1');
		assert.deepEqual(pickLoads(toFleet(accepted), accepted, 100_000, settled), {orders: [], held: []});
	});

	const cases: Array<[string, number, Readonly<Record<string, Partial<LoadReport>>>, Partial<Parameters<typeof pickLoads>[3]>, number, string[]]> = [
		['sends one order of four servers, the rest wait for their turn', 4, {}, {}, 1, ['turn']],
		['takes a quarter of a larger group', 12, {}, {serverBytesPerSecond: 1e8}, 3, ['turn']],
		['stays inside the weight store\'s rate', 12, {}, {}, 1, ['turn', 'store-rate']],
		['counts loads that run already', 4, {d0: {state: 'loading'}}, {}, 0, ['turn', 'store-rate']],
		['never takes the only copy', 1, {}, {}, 0, ['last-copy']],
		['never takes the last copy while the other loads', 2, {d0: {state: 'loading'}}, {}, 0, ['last-copy']],
		['holds everything while an edition is new', 4, {}, {acceptedAt: 99_000}, 0, ['settling']],
		['loads a server at once that serves another model', 2, {d0: {model: 'other'}, d1: {version: 'v2'}}, {}, 1, []],
	];
	for (const [name, count, changes, options, sent, reasons] of cases) {
		it(name, () => {
			const accepted = toAccepted(count, 'v2');
			const plan = pickLoads(toFleet(accepted, changes), accepted, 100_000, {...settled, ...options});
			assert.equal(plan.orders.length, sent);
			assert.ok(plan.held.every(({reason}) => reasons.includes(reason)), JSON.stringify(plan.held));
			assert.ok(plan.orders.every(({order}) => order.fence === 2));
		});
	}

	const pairCases: Array<[string, Readonly<Record<string, string>>, string[]]> = [
		['begins with one of a pool', {}, ['d0', 'd1', 'p0', 'p1']],
		['goes on with a role that keeps a pair', {p0: 'v2'}, ['d0', 'd1']],
		['goes on with the other role', {d1: 'v2'}, ['p0', 'p1']],
		['ends what is half done', {p0: 'v2', d0: 'v2'}, ['p1', 'd1']],
	];
	for (const [name, loaded, allowed] of pairCases) {
		it(`keeps a prefill and a decode server of one version: ${name}`, () => {
			const servers = [toServer('p0', 'prefill'), toServer('p1', 'prefill'), toServer('d0', 'decode'), toServer('d1', 'decode')];
			const base = toAccepted(0, 'v2');
			const accepted = {...base, config: {...base.config, servers}};
			const changes = Object.fromEntries(Object.entries(loaded).map(([id, version]) => [id, {version}]));
			const {orders} = pickLoads(toFleet(accepted, changes), accepted, 100_000, settled);
			assert.equal(orders.length, 1);
			assert.ok(allowed.includes(orders[0]!.server), orders[0]!.server);
		});
	}

	it('gives no order on a stale report, nor counts it as a copy', () => {
		const accepted = toAccepted(2, 'v2');
		const plan = pickLoads(toFleet(accepted, {}, 90_000), accepted, 100_000, settled);
		assert.deepEqual(plan.orders, []);
	});

	/**
	 * Three hosts see each server's report up to 3 s late, learn of an edition up
	 * to 3 s apart, and all send every order they derive, some of them twice.
	 * Whatever they send, a server that serves is never made to load while no
	 * other serves; and in the end every server has the last version.
	 */
	it('never takes the last serving copy, by any sequence of orders from several hosts (property)', () => {
		const stepMs = 500;
		fc.assert(fc.property(fc.integer({min: 2, max: 9}), fc.integer(), fc.array(fc.integer({min: 1, max: 80}), {maxLength: 3}), (count, seed, gaps) => {
			const random = toSeededRandom(seed);
			const servers = toServers(count).map(entry => ({
				entry, version: 'v1', fence: 1, loadingUntil: 0,
			}));
			const history: Array<ReadonlyArray<Partial<LoadReport>>> = [];
			let lastPublishedStep = 0;
			const published = gaps.map((gap, i) => {
				lastPublishedStep += gap;
				return {step: lastPublishedStep, accepted: toAccepted(count, `v${(i % 2) + 2}`, i + 2, 2e9)};
			});
			const lastStep = lastPublishedStep + 60 + (count * 40);
			for (let step = 0; step < lastStep; step++) {
				const now = step * stepMs;
				history.push(servers.map(({version, fence, loadingUntil}) => ({version, fence, state: loadingUntil > now ? 'loading' : 'serving'})));
				for (const host of [0, 1, 2]) {
					const known = published.findLast(edition => edition.step + (host * 3) <= step);
					if (known === undefined) {
						continue;
					}

					const statuses = servers.map(({entry}, i) => {
						const seenAt = Math.max(0, step - Math.floor(random() * 7));
						return toStatus(entry, seenAt * stepMs, history[seenAt]?.[i]);
					});
					const view = toView(known.accepted.config, statuses);
					const {orders} = pickLoads(view, known.accepted, now, {acceptedAt: (known.step + (host * 3)) * stepMs});
					for (const {server, order} of orders.filter(() => random() < 0.8)) {
						const target = servers.find(({entry}) => entry.id === server)!;
						const isServing = target.loadingUntil <= now;
						const isRefused = target.entry.checksFence && order.fence < target.fence;
						if (isRefused || (isServing && target.version === order.version)) {
							continue;
						}

						const others = servers.filter(other => other !== target && other.loadingUntil <= now);
						assert.ok(!isServing || others.length > 0, `${server} was the last copy at ${now} ms`);
						Object.assign(target, {version: order.version, fence: order.fence, loadingUntil: now + 2000 + (random() * 10_000)});
					}
				}
			}

			const wanted = published.at(-1)?.accepted.config.pools[0]?.version ?? 'v1';
			assert.deepEqual([...new Set(servers.map(({version}) => version))], [wanted]);
		}), {numRuns: 60});
	});
});

describe('isOrderAllowed', () => {
	const fresh = {
		checksFence: false, confirmedAgeMs: 100, reportAgeMs: 100, sinceDecisionMs: 1,
	};
	const rows: Array<[string, Partial<typeof fresh>, boolean]> = [
		['a fresh view and decision', {}, true],
		['a server without fence and a view not confirmed lately', {confirmedAgeMs: 60_000}, false],
		['a server without fence and a view never confirmed', {confirmedAgeMs: Infinity}, false],
		['a server with fence and an old view', {confirmedAgeMs: 60_000, checksFence: true}, true],
		['a pause between decision and sending', {sinceDecisionMs: 5000}, false],
		['a pause before sending to a server with fence', {sinceDecisionMs: 5000, checksFence: true}, false],
		['a report from long ago', {reportAgeMs: 60_000, checksFence: true}, false],
	];
	for (const [name, change, expected] of rows) {
		it(`${expected ? 'allows' : 'refuses'}: ${name}`, () => {
			assert.equal(isOrderAllowed({...fresh, ...change}), expected);
		});
	}
});
