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
 * Nobody polls loads: a host knows its own requests and what servers answered.
 * Streams come in bursts that fill the decode memory; a host that sends them all
 * to one server is refused there while others are free, and one that goes on
 * asking what lies behind a cut makes each caller wait for it.
 */
describe('createPlacement where no server reports', () => {
	it('spreads its requests evenly over all decode servers, the own zone first between equals', () => {
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

	it('passes over a server that just said it is full, and asks it again soon', () => {
		const placement = createPlacement({zone: 'a'});
		const random = createRandom();
		for (const id of ['d1-a', 'd2-a', 'd1-b', 'd2-b']) {
			placement.noteFailure(findServer(id), {kind: 'refused', reason: 'full'}, 1000);
		}

		assert.equal(placement.pick(request, toView(all), 1010, random)._unsafeUnwrapErr().reason, 'no-memory');
		assert.ok(placement.pick(request, toView(all), 1100, random).isOk());
	});

	/*
	 * A zone is cut off and has no server of one pool. Its hosts refuse every caller
	 * of that pool, though hosts of other zones could serve them.
	 */
	it('knows that a pool is out of reach once something speaks against all of its servers', () => {
		const placement = createPlacement({zone: 'c', isZoneSilent: () => true});
		const view = toView(all);
		assert.equal(placement.isAnyPoolSuspect(view, 1000), false);
		placement.noteFailure(findServer('d1-a'), {kind: 'unreachable', reason: undefined}, 1000);
		assert.equal(placement.isAnyPoolSuspect(view, 1100), false);
		placement.noteFailure(findServer('d1-b'), {kind: 'unreachable', reason: undefined}, 1000);
		assert.equal(placement.isAnyPoolSuspect(view, 1100), true);
		assert.equal(placement.isAnyPoolSuspect(view, 9000), true, 'also when no request has tried for a while');
		assert.equal(placement.isAnyPoolSuspect(toView([]), 1100), false, 'a pool without servers is nobody\'s fault here');
	});

	it('waits for room at a sound server rather than try one that just failed', () => {
		const placement = createPlacement({zone: 'a'});
		const random = createRandom();
		placement.noteFailure(findServer('d1-b'), {kind: 'broken', reason: undefined}, 1000);
		placement.noteFailure(findServer('p-b'), {kind: 'broken', reason: undefined}, 1000);
		for (const id of ['d1-a', 'd2-a']) {
			placement.noteFailure(findServer(id), {kind: 'refused', reason: 'full'}, 1000);
		}

		assert.equal(placement.pick(request, toView(all), 1010, random)._unsafeUnwrapErr().reason, 'no-memory');
	});

	it('leaves out a zone of which neither hosts nor servers answer', () => {
		const placement = createPlacement({zone: 'a', isZoneSilent: zone => zone === 'b'});
		const random = createRandom();
		placement.noteFailure(findServer('d1-b'), {kind: 'broken', reason: undefined}, 1000);
		for (let i = 0; i < 20; i++) {
			const picked = placement.pick(request, toView(all), 4000 + i, random)._unsafeUnwrap();
			placement.noteDispatched(picked, 4000 + i);
			assert.equal(picked.decode.zone, 'a');
		}
	});

	it('sends a prompt where neither this host nor another one has any', () => {
		const placement = createPlacement({zone: 'a', readPeerLoad: server => ({requests: 0, promptTokens: server === 'p-a' ? 9000 : 0})});
		const picked = placement.pick(request, toView(all), 1000, createRandom())._unsafeUnwrap();
		assert.equal(picked.prefill.id, 'p-b');
	});

	/*
	 * A prefill server is told to become a decode server. It refuses prompts for six
	 * seconds and looks idle all the while, so every prompt of its zone went there.
	 */
	it('keeps away from a prefill server that refuses prompts with an empty queue', () => {
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

	it('goes on sending prompts to a server that refused one with a long queue', () => {
		const placement = createPlacement({zone: 'a', readPeerLoad: server => ({requests: 0, promptTokens: server === 'p-a' ? 10_000 : 14_000})});
		placement.noteFailure(findServer('p-a'), {kind: 'refused', reason: 'full'}, 1000);
		const picked = placement.pick(request, toView(all), 1100, createRandom())._unsafeUnwrap();
		assert.equal(picked.prefill.id, 'p-a');
	});

	it('has a decode server compute its prompt where the queues of all prefill servers are long', () => {
		const placement = createPlacement({zone: 'a', readPeerLoad: server => ({requests: 0, promptTokens: server.startsWith('p-') ? 60_000 : 0})});
		const picked = placement.pick(request, toView(all), 1000, createRandom())._unsafeUnwrap();
		assert.equal(picked.prefill.id, picked.decode.id);
	});

	it('tries a zone last of which two servers could not be reached', () => {
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
		{name: 'of the own zone is left, and the others are behind a cut', servers: all.filter(({id}) => id !== 'p-a'), isCut: true},
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

	/* Guards against a further attempt that sends two calls where one is paid for. */
	it('lets the decode server compute the prompt of an attempt that is to be one call, beside idle prefill servers', () => {
		const placement = createPlacement({zone: 'a'});
		const picked = placement.pick({...request, isOneCall: true}, toView(all), 1000, createRandom())._unsafeUnwrap();
		assert.equal(picked.prefill.id, picked.decode.id);
		const usual = placement.pick(request, toView(all), 1000, createRandom())._unsafeUnwrap();
		assert.notEqual(usual.prefill.id, usual.decode.id);
	});
});
