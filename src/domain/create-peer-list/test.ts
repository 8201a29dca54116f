import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPeerList, maxPeers} from './index.js';

const self = '10.0.0.1:7380';
const toAddress = (i: number): string => `10.0.1.${i}:7380`;

/*
 * Nobody lists the hosts: a host starts with three addresses that may be stale
 * or its own. It must find the others by those who know them, forget who is gone,
 * and never talk to a crowd.
 */
describe('createPeerList', () => {
	it('greets seeds that have not spoken, and never itself', () => {
		const peers = createPeerList({self, zone: 'a', seeds: [self, toAddress(1), toAddress(2)]});
		peers.noteHeard(toAddress(1), 'a', 0);
		assert.deepEqual(peers.toGreet(10), [toAddress(2)]);
		assert.deepEqual(peers.living(10), [toAddress(1)]);
	});

	it('greets hosts that others name, until they speak or stay silent', () => {
		const peers = createPeerList({self, zone: 'a', seeds: []});
		peers.noteNamed([self, toAddress(3), toAddress(4)], 0);
		assert.deepEqual(peers.toGreet(10), [toAddress(3), toAddress(4)]);
		assert.equal(peers.noteHeard(toAddress(3), 'a', 20), true);
		assert.deepEqual(peers.toGreet(30), [toAddress(4)]);
		assert.deepEqual(peers.toGreet(11_000), []);
	});

	it('drops a host that fell silent, and says when it is back', () => {
		const peers = createPeerList({self, zone: 'a', seeds: [toAddress(1)]});
		assert.equal(peers.noteHeard(toAddress(1), 'a', 0), true);
		assert.equal(peers.noteHeard(toAddress(1), 'a', 1000), false);
		assert.deepEqual(peers.living(5000), []);
		assert.deepEqual(peers.toGreet(5000), [toAddress(1)]);
		assert.equal(peers.noteHeard(toAddress(1), 'a', 6000), true);
	});

	it('talks to so many at most, the own zone first', () => {
		const peers = createPeerList({self, zone: 'a', seeds: []});
		for (let i = 0; i < 40; i++) {
			peers.noteHeard(toAddress(i), i >= 35 ? 'a' : 'b', 0);
		}

		const living = peers.living(1);
		assert.equal(living.length, maxPeers);
		assert.deepEqual(living.slice(0, 5), [35, 36, 37, 38, 39].map(i => toAddress(i)));
	});

	it('keeps a bounded number of named hosts, whatever it is told', () => {
		const peers = createPeerList({self, zone: 'a', seeds: []});
		peers.noteNamed(Array.from({length: 5000}, (_, i) => `10.1.${Math.floor(i / 256)}.${i % 256}:1`), 0);
		assert.equal(peers.toGreet(1).length, 64);
	});
});
