import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSharedLoads, type ToldLoads} from './index.js';

const toMessage = (over: Partial<ToldLoads> = {}): ToldLoads => ({
	host: 'b', zone: 'z', incarnation: 1, sequence: 1, peers: [], isAsking: false, loads: [{server: 's', requests: 2, promptTokens: 900}], ...over,
});

/*
 * Hosts send each other the load that they have at the servers; datagrams are lost,
 * duplicated or reordered, and hosts are killed. Stale loads would keep requests off a
 * server, and lost ones would make all hosts send to the same server.
 */
describe('createSharedLoads', () => {
	it('sums the latest loads of the hosts', () => {
		const shared = createSharedLoads();
		shared.note(toMessage(), 0);
		shared.note(toMessage({host: 'c', loads: [{server: 's', requests: 1, promptTokens: 100}, {server: 't', requests: 4, promptTokens: 0}]}), 0);
		assert.deepEqual(shared.read('s', 10), {requests: 3, promptTokens: 1000});
		assert.deepEqual(shared.read('t', 10), {requests: 4, promptTokens: 0});
		assert.deepEqual(shared.read('u', 10), {requests: 0, promptTokens: 0});
	});

	it('counts no load for a server that a host no longer lists', () => {
		const shared = createSharedLoads();
		shared.note(toMessage(), 0);
		shared.note(toMessage({sequence: 2, loads: []}), 5);
		assert.deepEqual(shared.read('s', 10), {requests: 0, promptTokens: 0});
	});

	it('drops a message that arrives after a later one', () => {
		const shared = createSharedLoads();
		shared.note(toMessage({sequence: 9, loads: []}), 0);
		shared.note(toMessage({sequence: 8}), 1);
		assert.equal(shared.read('s', 2).requests, 0);
	});

	it('accepts messages of a host that was restarted, also with its clock set back', () => {
		const shared = createSharedLoads();
		shared.note(toMessage({incarnation: 5, sequence: 90}), 0);
		shared.note(toMessage({incarnation: 6, sequence: 1, loads: []}), 1);
		assert.equal(shared.read('s', 2).requests, 0);
		shared.note(toMessage({incarnation: 2, sequence: 1}), 2000);
		assert.equal(shared.read('s', 2001).requests, 2);
	});

	it('distinguishes a zone that fell silent from one that never sent a message', () => {
		const shared = createSharedLoads();
		shared.note(toMessage({zone: 'z'}), 0);
		assert.deepEqual(['z', 'y'].map(zone => shared.isZoneSilent(zone, 1000)), [false, false]);
		assert.deepEqual(['z', 'y'].map(zone => shared.isZoneSilent(zone, 2000)), [true, false]);
		shared.note(toMessage({host: 'c', zone: 'z'}), 2100);
		assert.equal(shared.isZoneSilent('z', 2200), false);
	});

	it('distinguishes a host that no longer hears from other zones from one that never did', () => {
		const shared = createSharedLoads();
		shared.note(toMessage({zone: 'own'}), 0);
		assert.equal(shared.isIsolated('own', 5000), false);
		shared.note(toMessage({host: 'c', zone: 'y'}), 5000);
		shared.note(toMessage({host: 'd', zone: 'z'}), 8000);
		assert.equal(shared.isIsolated('own', 9000), false);
		assert.equal(shared.isIsolated('own', 10_000), true);
	});

	it('counts a host as isolated sooner than one zone as silent where hosts send rarely', () => {
		const shared = createSharedLoads({toMaxAgeMs: () => 3000});
		shared.note(toMessage({host: 'c', zone: 'y'}), 0);
		shared.note(toMessage({host: 'd', zone: 'z'}), 100);
		assert.deepEqual([1600, 1601].map(now => shared.isIsolated('own', now)), [false, true]);
		assert.deepEqual(['y', 'z'].map(zone => shared.isZoneSilent(zone, 3000)), [false, false]);
	});

	it('forgets a host that fell silent', () => {
		const shared = createSharedLoads();
		shared.note(toMessage(), 0);
		assert.equal(shared.read('s', 1400).requests, 2);
		assert.equal(shared.read('s', 1600).requests, 0);
	});
});
