import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Config, type ServerEntry, type ServerRole} from '../../ports/config.js';
import {type FleetView} from '../../ports/view.js';
import {createRandom} from '../_test/create-random.js';
import {createPlacement, type PlacementRequest} from './index.js';

const toServer = (id: string, role: ServerRole, zone: string): ServerEntry => ({
	id, role, zone, url: `http://10.0.0.1:1/${id}`, pool: 'model', slots: 100, checksFence: false,
});

const all = ['a', 'b'].flatMap(zone => [toServer(`p-${zone}`, 'prefill', zone), toServer(`d1-${zone}`, 'decode', zone), toServer(`d2-${zone}`, 'decode', zone)]);

function toView(servers: readonly ServerEntry[]): FleetView {
	const config: Config = {
		zones: ['a', 'b'].map(id => ({id, region: 'r'})),
		hosts: [],
		servers,
		pools: [{
			name: 'model', kind: 'model', model: 'm', version: undefined, adapters: [], classes: ['quick', 'batch'], isUnreported: true,
		}],
		rules: [],
		callerTokens: {},
		weightStoreBytesPerSecond: 0,
	};
	return {
		accepted: {version: {edition: 1, revision: servers.length, digest: ''}, config, text: ''},
		hosts: new Map(),
		servers: new Map(),
		platformConfirmedAt: 0,
		receivedAt: 0,
	};
}

const request: PlacementRequest = {
	pool: 'model', model: 'm', version: undefined, adapter: undefined, promptTokens: 3000, maxTokens: 2000, class: 'quick', firstTokenBudgetMs: 14_000,
};

const findServer = (id: string) => all.find(server => server.id === id)!;

/*
 * Nobody polls loads: a host knows only its own requests and the servers' answers.
 * Guards against a host that sends a whole burst to one server and is refused while
 * others have free memory, and against one that keeps calling partitioned servers
 * and makes each caller wait for a timeout.
 */
describe('createPlacement where no server reports', () => {
	it('spreads its requests evenly over all decode servers, and prefers its own zone among equals', () => {
		const placement = createPlacement({zone: 'a'});
		const random = createRandom();
		const counts = new Map<string, number>();
		for (let i = 0; i < 40; i++) {
			const picked = placement.pick(request, toView(all), 1000 + i, random)._unsafeUnwrap();
			placement.noteDispatched(picked, 1000 + i);
			counts.set(picked.decode.id, (counts.get(picked.decode.id) ?? 0) + 1);
			assert.ok(i > 0 || picked.decode.zone === 'a');
		}

		assert.deepEqual([...counts.values()].toSorted((a, b) => a - b).map(count => count >= 9 && count <= 11), [true, true, true, true]);
	});

	it('skips a server that has just refused as full, and tries it again soon', () => {
		const placement = createPlacement({zone: 'a'});
		const random = createRandom();
		for (const id of ['d1-a', 'd2-a', 'd1-b', 'd2-b']) {
			placement.noteFailure(findServer(id), {kind: 'refused', reason: 'full'}, 1000);
		}

		assert.equal(placement.pick(request, toView(all), 1010, random)._unsafeUnwrapErr().reason, 'no-memory');
		assert.ok(placement.pick(request, toView(all), 1100, random).isOk());
	});

	/*
	 * Guards against hosts of a partitioned zone without servers of one pool: they
	 * refuse every caller of that pool, although hosts of other zones could serve them.
	 */
	it('reports a suspect pool once all of its servers are in cooldown', () => {
		const placement = createPlacement({zone: 'c', isZoneSilent: () => true});
		const view = toView(all);
		assert.equal(placement.isAnyPoolSuspect(view, 1000), false);
		placement.noteFailure(findServer('d1-a'), {kind: 'unreachable', reason: undefined}, 1000);
		assert.equal(placement.isAnyPoolSuspect(view, 1100), false);
		placement.noteFailure(findServer('d1-b'), {kind: 'unreachable', reason: undefined}, 1000);
		assert.equal(placement.isAnyPoolSuspect(view, 1100), true);
		assert.equal(placement.isAnyPoolSuspect(view, 9000), true, 'even if no request has called the servers for a while');
		assert.equal(placement.isAnyPoolSuspect(toView([]), 1100), false, 'a pool without servers is not suspect');
	});

	it('waits for room on a healthy server rather than trying one that has just failed', () => {
		const placement = createPlacement({zone: 'a'});
		const random = createRandom();
		placement.noteFailure(findServer('d1-b'), {kind: 'broken', reason: undefined}, 1000);
		placement.noteFailure(findServer('p-b'), {kind: 'broken', reason: undefined}, 1000);
		for (const id of ['d1-a', 'd2-a']) {
			placement.noteFailure(findServer(id), {kind: 'refused', reason: 'full'}, 1000);
		}

		assert.equal(placement.pick(request, toView(all), 1010, random)._unsafeUnwrapErr().reason, 'no-memory');
	});

	it('avoids a zone whose hosts and servers both do not answer', () => {
		const placement = createPlacement({zone: 'a', isZoneSilent: zone => zone === 'b'});
		const random = createRandom();
		placement.noteFailure(findServer('d1-b'), {kind: 'broken', reason: undefined}, 1000);
		for (let i = 0; i < 20; i++) {
			const picked = placement.pick(request, toView(all), 4000 + i, random)._unsafeUnwrap();
			placement.noteDispatched(picked, 4000 + i);
			assert.equal(picked.decode.zone, 'a');
		}
	});

	it('sends a prompt to a prefill server at which neither this host nor another host has prompts', () => {
		const placement = createPlacement({zone: 'a', readPeerLoad: server => ({requests: 0, promptTokens: server === 'p-a' ? 9000 : 0})});
		const picked = placement.pick(request, toView(all), 1000, createRandom())._unsafeUnwrap();
		assert.equal(picked.prefill.id, 'p-b');
	});

	/*
	 * Guards against a prefill server that is changing its role to decode: it refuses
	 * prompts for six seconds and looks idle, so every prompt of its zone went there.
	 */
	it('avoids a prefill server that refuses prompts although its queue is empty', () => {
		const placement = createPlacement({zone: 'a'});
		const random = createRandom();
		let refused = 0;
		for (let now = 1000; now < 7000; now += 50) {
			const picked = placement.pick(request, toView(all), now, random)._unsafeUnwrap();
			assert.notEqual(picked.prefill.id, picked.decode.id);
			placement.noteDispatched(picked, now);
			if (picked.prefill.id === 'p-a') {
				refused++;
				placement.noteFailure(picked.prefill, {kind: 'refused', reason: 'full'}, now);
			} else {
				placement.notePrefilled(picked, {promptTokens: 3000, cachedTokens: 0, bytes: 0}, now);
			}

			placement.noteFinished(picked, now);
		}

		assert.ok(refused <= 3, `${refused} of 120 prompts were refused`);
	});

	it('keeps sending prompts to a server that refused one because its queue is long', () => {
		const placement = createPlacement({zone: 'a', readPeerLoad: server => ({requests: 0, promptTokens: server === 'p-a' ? 10_000 : 14_000})});
		placement.noteFailure(findServer('p-a'), {kind: 'refused', reason: 'full'}, 1000);
		const picked = placement.pick(request, toView(all), 1100, createRandom())._unsafeUnwrap();
		assert.equal(picked.prefill.id, 'p-a');
	});

	it('lets a decode server compute the prompt when the queues of all prefill servers are long', () => {
		const placement = createPlacement({zone: 'a', readPeerLoad: server => ({requests: 0, promptTokens: server.startsWith('p-') ? 60_000 : 0})});
		const picked = placement.pick(request, toView(all), 1000, createRandom())._unsafeUnwrap();
		assert.equal(picked.prefill.id, picked.decode.id);
	});

	it('uses a zone last in which two servers were unreachable', () => {
		const placement = createPlacement({zone: 'a'});
		const random = createRandom();
		placement.noteFailure(findServer('d1-b'), {kind: 'broken', reason: undefined}, 1000);
		placement.noteFailure(findServer('p-b'), {kind: 'broken', reason: undefined}, 1000);
		for (let i = 0; i < 20; i++) {
			const picked = placement.pick(request, toView(all), 1100, random)._unsafeUnwrap();
			placement.noteDispatched(picked, 1100);
			assert.deepEqual([picked.decode.zone, picked.prefill.zone], ['a', 'a']);
		}
	});

	const withoutPrefill: ReadonlyArray<{name: string; servers: readonly ServerEntry[]; isCut: boolean}> = [
		{name: 'is left', servers: all.filter(({role}) => role !== 'prefill'), isCut: false},
		{name: 'of the own zone is left, and the others are partitioned', servers: all.filter(({id}) => id !== 'p-a'), isCut: true},
	];
	for (const {name, servers, isCut} of withoutPrefill) {
		it(`lets a decode server compute the prompt when no prefill server ${name}`, () => {
			const placement = createPlacement({zone: 'a'});
			if (isCut) {
				placement.noteFailure(findServer('p-b'), {kind: 'broken', reason: undefined}, 1000);
			}

			const picked = placement.pick(request, toView(servers), 1100, createRandom())._unsafeUnwrap();
			assert.equal(picked.prefill.id, picked.decode.id);
		});
	}

	/* Guards against a retry that makes two calls although its retry budget paid for one. */
	it('lets the decode server compute the prompt of a one-call attempt, even if prefill servers are idle', () => {
		const placement = createPlacement({zone: 'a'});
		const picked = placement.pick({...request, isOneCall: true}, toView(all), 1000, createRandom())._unsafeUnwrap();
		assert.equal(picked.prefill.id, picked.decode.id);
		const usual = placement.pick(request, toView(all), 1000, createRandom())._unsafeUnwrap();
		assert.notEqual(usual.prefill.id, usual.decode.id);
	});
});
