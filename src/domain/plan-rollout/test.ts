import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type AcceptedConfig} from '../../ports/config.js';
import {type LoadReport} from '../../ports/engine.js';
import {
	toConfig, toSeededRandom, toServer, toStatus, toView,
} from '../create-placement/_lib/fixtures.js';
import {type ModelZone} from './_test/rollout-model.js';
import {planRollout, type HeldReason} from './index.js';

const toServers = (count: number) => Array.from({length: count}, (_, i) => toServer(`d${i}`, 'decode', {checksFence: i % 2 === 0}));

const toAccepted = (count: number, version: string, edition = 2, weightStoreBytesPerSecond = 1e9): AcceptedConfig => {
	const config = toConfig(toServers(count), {weightStoreBytesPerSecond});
	return {version: {edition, revision: edition, digest: `${edition}`}, config: {...config, pools: config.pools.map(pool => ({...pool, version: pool.model && version}))}, text: ''};
};

const toFleet = (accepted: AcceptedConfig, changes: Readonly<Record<string, Partial<LoadReport>>> = {}, at = 100_000) =>
	toView(accepted.config, accepted.config.servers.map(entry => toStatus(entry, at, changes[entry.id])));

const settled = {acceptedAt: 0};

describe('planRollout', () => {
	it('sends no order when all servers are as wanted', () => {
		const accepted = toAccepted(4, 'v1');
		assert.deepEqual(planRollout(toFleet(accepted), accepted, 100_000, settled), {orders: [], held: []});
	});

	const cases: Array<[string, number, Readonly<Record<string, Partial<LoadReport>>>, Partial<Parameters<typeof planRollout>[3]>, number, string[]]> = [
		['sends an order to one of four servers and holds the others', 4, {}, {}, 1, ['turn']],
		['takes a quarter of a larger group', 12, {}, {serverBytesPerSecond: 1e8}, 3, ['turn']],
		['stays within the weight store\'s rate', 12, {}, {}, 1, ['turn', 'store-rate']],
		['counts loads in progress', 4, {d0: {state: 'loading'}}, {}, 0, ['turn', 'store-rate']],
		['never takes the only copy', 1, {}, {}, 0, ['last-copy']],
		['never takes the last copy while the other loads', 2, {d0: {state: 'loading'}}, {}, 0, ['last-copy']],
		['holds all orders while an edition is new', 4, {}, {acceptedAt: 99_000}, 0, ['settling']],
		['loads a server that serves another model at once', 2, {d0: {model: 'other'}, d1: {version: 'v2'}}, {}, 1, []],
	];
	for (const [name, count, changes, options, sent, reasons] of cases) {
		it(name, () => {
			const accepted = toAccepted(count, 'v2');
			const plan = planRollout(toFleet(accepted, changes), accepted, 100_000, {...settled, ...options});
			assert.equal(plan.orders.length, sent);
			assert.ok(plan.held.every(({reason}) => reasons.includes(reason)), JSON.stringify(plan.held));
			assert.ok(plan.orders.every(({order}) => order.fence === 2));
		});
	}

	const pairCases: Array<[string, Readonly<Record<string, string>>, string[]]> = [
		['begins with any server of a pool', {}, ['d0', 'd1', 'p0', 'p1']],
		['continues with a role that keeps a pair', {p0: 'v2'}, ['d0', 'd1']],
		['continues with the other role', {d1: 'v2'}, ['p0', 'p1']],
		['completes the rollout', {p0: 'v2', d0: 'v2'}, ['p1', 'd1']],
	];
	for (const [name, loaded, allowed] of pairCases) {
		it(`keeps a prefill and a decode server of one version: ${name}`, () => {
			const servers = [toServer('p0', 'prefill'), toServer('p1', 'prefill'), toServer('d0', 'decode'), toServer('d1', 'decode')];
			const base = toAccepted(0, 'v2');
			const accepted = {...base, config: {...base.config, servers}};
			const changes = Object.fromEntries(Object.entries(loaded).map(([id, version]) => [id, {version}]));
			const {orders} = planRollout(toFleet(accepted, changes), accepted, 100_000, settled);
			assert.equal(orders.length, 1);
			assert.ok(allowed.includes(orders[0]!.server), orders[0]!.server);
		});
	}

	it('holds all orders once a server of the pool has accepted an order of a later edition', () => {
		const accepted = toAccepted(4, 'v2');
		const plan = planRollout(toFleet(accepted, {d3: {fence: 3}}), accepted, 100_000, settled);
		assert.deepEqual([...new Set(plan.held.map(({reason}) => reason))], ['overtaken']);
		assert.deepEqual(plan.orders, []);
	});

	type ZoneCase = {
		name: string;
		/** Prefill and decode servers of zone a, b, and so on. */
		zones: readonly ModelZone[];
		/** Fields of server reports that differ from the default; servers are named by zone, role and number. */
		reports?: Readonly<Record<string, Partial<LoadReport>>>;
		/** Zones of which no host is alive. */
		cut?: readonly string[];
		regions?: Readonly<Record<string, string>>;
		rollout?: 'allow-gap';
		/** Servers of which exactly one must get an order; none must where the list is empty. */
		allowed: readonly string[];
		reason?: HeldReason;
	};
	const two = {prefills: 2, decodes: 2};
	const one = {prefills: 1, decodes: 1};
	const v2 = {version: 'v2'};
	const bDone = {
		bp0: v2, bp1: v2, bd0: v2, bd1: v2,
	};
	const zoneCases: readonly ZoneCase[] = [
		{
			name: 'keeps the last pair of a zone, also while another zone has pairs', zones: [two, two], reports: {ap0: v2, bp0: v2, bd0: v2}, allowed: ['ad0', 'ad1', 'bp1', 'bd1'],
		},
		{
			name: 'waits in a zone with two of a role, one of which leaves', zones: [two, two], reports: {ap0: {state: 'leaving'}, ad0: v2, ...bDone}, allowed: [], reason: 'last-zone-pair',
		},
		{
			name: 'loads a zone with one server in a role while another zone stands in', zones: [one, two], reports: bDone, allowed: ['ap0', 'ad0'],
		},
		{
			name: 'waits when the zone that stands in is cut off', zones: [one, two], reports: bDone, cut: ['b'], allowed: [], reason: 'no-stand-in',
		},
		{
			name: 'waits when the zone itself is cut off', zones: [one, two], reports: bDone, cut: ['a'], allowed: [], reason: 'no-stand-in',
		},
		{
			name: 'waits when only another region could stand in', zones: [one, two], reports: bDone, regions: {b: 'far'}, allowed: [], reason: 'no-stand-in',
		},
		{
			name: 'waits when the zones that stand in have too few free slots',
			zones: [one, one],
			reports: {bp0: v2, bd0: {...v2, slotsUsed: 12}, ad0: {slotsUsed: 9}},
			allowed: [],
			reason: 'no-stand-in',
		},
		{
			name: 'takes one zone at a time', zones: [one, one, one], reports: {ap0: v2}, allowed: ['ad0'], reason: 'zone-turn',
		},
		{
			name: 'waits in a pool with one server in a role', zones: [{prefills: 1, decodes: 3}], reports: {ad0: v2, ad1: v2}, allowed: [], reason: 'last-copy',
		},
		{
			name: 'loads the only server of a role where a gap is allowed', zones: [{prefills: 1, decodes: 3}], reports: {ad0: v2, ad1: v2}, rollout: 'allow-gap', allowed: ['ap0', 'ad2'],
		},
		{
			name: 'begins with servers that need no gap where one is allowed', zones: [{prefills: 1, decodes: 3}], rollout: 'allow-gap', allowed: ['ad0', 'ad1', 'ad2'],
		},
		{
			name: 'makes no second gap while a server loads', zones: [one], reports: {ap0: {...v2, state: 'loading'}}, rollout: 'allow-gap', allowed: [], reason: 'last-copy',
		},
	];
	for (const {
		name, zones, reports = {}, cut = [], regions = {}, rollout, allowed, reason,
	} of zoneCases) {
		it(name, () => {
			const servers = zones.flatMap(({prefills, decodes}, i) => {
				const zone = 'abc'[i]!;
				const toMany = (role: 'prefill' | 'decode', count: number) => Array.from({length: count}, (_, j) => toServer(`${zone}${role[0]}${j}`, role, {zone}));
				return [...toMany('prefill', prefills), ...toMany('decode', decodes)];
			});
			const base = toAccepted(0, 'v2');
			const config = {
				...base.config,
				servers,
				zones: [...new Set(servers.map(({zone}) => zone))].map(id => ({id, region: regions[id] ?? 'r'})),
				pools: base.config.pools.map(pool => pool.model === undefined ? pool : {...pool, ...(rollout && {rollout})}),
			};
			const hosts = config.zones.map(({id}) => ({
				id: `${id}-1`, zone: id, life: cut.includes(id) ? 'suspect' as const : 'alive' as const, incarnation: 1, entryAddress: '', agentAddress: '', leaving: false,
			}));
			const view = toView(config, servers.map(entry => toStatus(entry, 100_000, reports[entry.id])), hosts);
			const {orders, held} = planRollout(view, {...base, config}, 100_000, settled);
			assert.equal(orders.length, allowed.length > 0 ? 1 : 0);
			assert.ok(orders.every(({server}) => allowed.includes(server)), orders[0]?.server);
			if (reason !== undefined) {
				assert.ok(held.some(order => order.reason === reason), JSON.stringify(held.map(order => order.reason)));
			}
		});
	}

	it('sends no order on a stale report, and counts no copy by it', () => {
		const accepted = toAccepted(2, 'v2');
		const plan = planRollout(toFleet(accepted, {}, 90_000), accepted, 100_000, settled);
		assert.deepEqual(plan.orders, []);
	});

	/**
	 * Three hosts see each server's report up to 3 s late, receive an edition up
	 * to 3 s apart, and all send most of the orders that they plan. A server that
	 * serves must never be made to load while no other server serves, and at the end
	 * every server must have the last version.
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
					const {orders} = planRollout(view, known.accepted, now, {acceptedAt: (known.step + (host * 3)) * stepMs});
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
