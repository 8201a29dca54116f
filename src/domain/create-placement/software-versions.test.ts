import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ServerEntry} from '../../ports/config.js';
import {createRandom} from '../_test/create-random.js';
import {
	toConfig, toServer, toStatus, toView,
} from './_lib/fixtures.js';
import {createPlacement, type PlacementRequest} from './index.js';

const request: PlacementRequest = {
	pool: 'main', model: 'm', version: undefined, adapter: undefined, promptTokens: 3000, maxTokens: 2000, class: 'quick', firstTokenBudgetMs: 14_000,
};
const old = {pool: 'main', softwareVersion: 'v1'};
const zones = ['a', 'b'];
const ofVersion = (softwareVersion: string | undefined): ServerEntry[] => zones.flatMap(zone => [
	toServer(`p-${softwareVersion}-${zone}`, 'prefill', {zone, ...(softwareVersion !== undefined && {softwareVersion})}),
	toServer(`d-${softwareVersion}-${zone}`, 'decode', {zone, ...(softwareVersion !== undefined && {softwareVersion})}),
	toServer(`w-${softwareVersion}-${zone}`, 'plain', {zone, pool: 'web', ...(softwareVersion !== undefined && {softwareVersion})}),
]);

function toFleet(servers: readonly ServerEntry[], {isUnreported}: {isUnreported: boolean}) {
	const config = toConfig(servers);
	const pools = config.pools.map(pool => ({...pool, isUnreported}));
	return toView({...config, pools}, servers.map(server => toStatus(server, 1000)));
}

// Guards against a stream that goes on at a server of another software version than the one that began it.
describe('createPlacement for a stream that goes on', () => {
	for (const isUnreported of [true, false]) {
		it(`picks only servers of the version that began it, ${isUnreported ? 'without' : 'with'} reports of loads`, () => {
			const placement = createPlacement({zone: 'a'});
			const view = toFleet([...ofVersion('v1'), ...ofVersion('v2'), ...ofVersion(undefined)], {isUnreported});
			const random = createRandom();
			for (let i = 0; i < 200; i++) {
				const picked = placement.pick({...request, origin: old}, view, 1000 + i, random)._unsafeUnwrap();
				placement.noteDispatched(picked, 1000 + i);
				placement.noteFinished(picked, 1000 + i);
				assert.deepEqual([picked.prefill.softwareVersion, picked.decode.softwareVersion], ['v1', 'v1']);
				const plain = placement.pickPlain({pool: 'web', origin: {pool: 'web', softwareVersion: 'v2'}}, view, 1000 + i, random)._unsafeUnwrap();
				assert.equal(plain.server.softwareVersion, 'v2');
			}
		});

		it(`finds no server when none of the version is left, ${isUnreported ? 'without' : 'with'} reports of loads`, () => {
			const view = toFleet(ofVersion('v2'), {isUnreported});
			const refusal = createPlacement({zone: 'a'}).pick({...request, origin: old}, view, 1000, createRandom())._unsafeUnwrapErr();
			assert.equal(refusal.reason, 'no-server');
		});
	}

	it('lets a decode server compute the prompt if the version has no prefill server', () => {
		const view = toFleet([...ofVersion('v1').filter(({role}) => role !== 'prefill'), ...ofVersion('v2')], {isUnreported: true});
		const picked = createPlacement({zone: 'a'}).pick({...request, origin: old}, view, 1000, createRandom())._unsafeUnwrap();
		assert.equal(picked.prefill.id, picked.decode.id);
		assert.equal(picked.decode.softwareVersion, 'v1');
	});

	it('takes servers without a version for one version', () => {
		const view = toFleet([...ofVersion(undefined), ...ofVersion('v2')], {isUnreported: true});
		const picked = createPlacement({zone: 'a'}).pick({...request, origin: {pool: 'main', softwareVersion: undefined}}, view, 1000, createRandom())._unsafeUnwrap();
		assert.equal(picked.decode.softwareVersion, undefined);
	});

	// Guards against a stream that waits although servers of its version have room, because those of other versions are full, or is refused because it should wait.
	it('is full when the servers of its version are, whatever the others say', () => {
		const placement = createPlacement({zone: 'a'});
		const view = toFleet([...ofVersion('v1'), ...ofVersion('v2')], {isUnreported: true});
		for (const server of ofVersion('v2').filter(({role}) => role === 'decode')) {
			placement.noteFailure(server, {kind: 'refused', reason: 'full'}, 1000);
		}

		assert.equal(placement.pick({...request, origin: old}, view, 1001, createRandom())._unsafeUnwrap().decode.softwareVersion, 'v1');
		for (const server of ofVersion('v1').filter(({role}) => role === 'decode')) {
			placement.noteFailure(server, {kind: 'refused', reason: 'full'}, 1001);
		}

		assert.equal(placement.pick({...request, origin: old}, view, 1002, createRandom())._unsafeUnwrapErr().reason, 'no-memory');
	});
});
