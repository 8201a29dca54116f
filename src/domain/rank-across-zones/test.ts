import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {rankAcrossZones} from './index.js';

const toHosts = (count: number, zones: number) => Array.from({length: count}, (_, i) => ({address: `10.0.0.${i}:7380`, zone: `z${i % zones}`}));

describe('rankAcrossZones', () => {
	it('picks hosts of different zones first', () => {
		const hosts = toHosts(30, 5);
		for (let key = 0; key < 50; key++) {
			const zones = rankAcrossZones(`k${key}`, hosts, 5).map(address => hosts.find(host => host.address === address)!.zone);
			assert.equal(new Set(zones).size, 5);
		}
	});

	it('fills up with further hosts of the same zones', () => {
		const picked = rankAcrossZones('k', toHosts(6, 2), 5);
		assert.equal(new Set(picked).size, 5);
	});

	it('does not depend on the order of the candidates', () => {
		const hosts = toHosts(40, 3);
		fc.assert(fc.property(fc.string(), fc.shuffledSubarray(hosts, {minLength: hosts.length}), (key, shuffled) => {
			assert.deepEqual(rankAcrossZones(key, shuffled, 4), rankAcrossZones(key, hosts, 4));
		}));
	});

	it('spreads keys evenly over the hosts of a zone', () => {
		const counts = new Map<string, number>();
		for (let key = 0; key < 4000; key++) {
			for (const address of rankAcrossZones(`k${key}`, toHosts(40, 4), 1)) {
				counts.set(address, (counts.get(address) ?? 0) + 1);
			}
		}

		assert.equal(counts.size, 40);
		assert.ok(Math.max(...counts.values()) < 200);
	});
});
