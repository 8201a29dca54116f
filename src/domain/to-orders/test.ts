import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type AcceptedConfig, type Config} from '../../ports/config.js';
import {type ServerStatus} from '../../ports/view.js';
import {
	toConfig, toReport, toServer, toStatus, toView,
} from '../create-placement/_lib/fixtures.js';
import {toOrders, toWantedVersions, toWeightsKey} from './index.js';

const servers = Array.from({length: 10}, (_, i) => toServer(`d${i}`, 'decode'));

const toAccepted = (change: Partial<Config> = {}): AcceptedConfig => ({version: {edition: 7, revision: 7, digest: 'x'}, config: toConfig(servers, change), text: ''});

const toFleet = (first: Partial<ServerStatus>) => toView(toConfig(servers), servers.map((entry, i) => ({...toStatus(entry, 0), ...(i === 0 ? first : {})})));

const toLoad = (change: Parameters<typeof toReport>[1]) => ({load: toReport(servers[0]!, change)});

describe('toOrders', () => {
	const rows: Array<[string, Partial<ServerStatus>, Record<string, unknown> | undefined]> = [
		['no order for a server as wanted', {}, undefined],
		['the role first', toLoad({role: 'prefill', version: 'v0'}), {kind: 'set-role', role: 'decode'}],
		['the version', toLoad({version: 'v0'}), {kind: 'load-version', version: 'v1'}],
		['the model', toLoad({model: 'other'}), {kind: 'load-version', model: 'm', version: 'v1'}],
		['the unloading of an adapter no longer wanted', toLoad({adapters: ['old']}), {kind: 'unload-adapter', adapter: 'old'}],
		['no order for a server that loads', toLoad({version: 'v0', state: 'loading'}), undefined],
		['no order for a server that leaves', {...toLoad({version: 'v0'}), leaving: true}, undefined],
		['no order for a server that cannot be reached', {...toLoad({version: 'v0'}), reachable: false}, undefined],
		['no order without a report', {load: undefined}, undefined],
	];
	for (const [name, first, expected] of rows) {
		it(`gives ${name}`, () => {
			const [wanted, ...rest] = toOrders(toFleet(first), toAccepted());
			assert.deepEqual(rest, []);
			assert.deepEqual(wanted && {...wanted.order, ...expected}, wanted?.order);
			assert.equal(wanted === undefined, expected === undefined);
			assert.equal(wanted?.order.fence ?? 7, 7);
		});
	}

	it('divides servers between the versions of a split, with each version on at least one server', () => {
		const rule = {
			name: 'all', when: {}, then: {
				pool: 'main',
				class: 'quick' as const,
				repeatable: true,
				target: {firstTokenMs: 1, perTokenMs: 1, completeMs: 1},
				queueLimit: 1,
				versions: [{version: 'v1', weight: 98}, {version: 'v2', weight: 2}],
				adapter: undefined,
			},
		};
		const orders = toOrders(toFleet({}), toAccepted({rules: [rule]}));
		assert.deepEqual(orders.map(({order}) => order.version), ['v2']);
	});

	it('assigns the versions of a split so that each zone has a pair', () => {
		const zones = ['a', 'b', 'c', 'd'];
		const some = zones.flatMap(zone => [toServer(`${zone}p`, 'prefill', {zone}), toServer(`${zone}d`, 'decode', {zone})]);
		const versions = [{version: 'v1', weight: 1}, {version: 'v2', weight: 1}];
		const then = {
			pool: 'main', class: 'quick' as const, repeatable: true, target: {firstTokenMs: 1, perTokenMs: 1, completeMs: 1}, queueLimit: 1, versions, adapter: undefined,
		};
		const wanted = toWantedVersions(toConfig(some, {rules: [{name: 'all', when: {}, then}]}));
		assert.deepEqual(zones.map(zone => wanted.get(`${zone}p`)), zones.map(zone => wanted.get(`${zone}d`)));
		assert.deepEqual([...wanted.values()].toSorted(), ['v1', 'v1', 'v1', 'v1', 'v2', 'v2', 'v2', 'v2']);
	});

	it('distinguishes editions that want other weights from those that change only rules', () => {
		const {config} = toAccepted();
		const other = {...config, pools: config.pools.map(pool => ({...pool, version: 'v9'}))};
		assert.equal(toWeightsKey(config), toWeightsKey({...config, callerTokens: {x: 'w'}}));
		assert.notEqual(toWeightsKey(config), toWeightsKey(other));
	});

	it('derives the same orders again from the same view and configuration', () => {
		const view = toFleet(toLoad({version: 'v0'}));
		assert.deepEqual(toOrders(view, toAccepted()), toOrders(view, toAccepted()));
	});
});
