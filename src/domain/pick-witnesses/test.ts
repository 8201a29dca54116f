import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type HostEntry} from '../../ports/config.js';
import {pickWitnesses} from './index.js';

function toHosts(perZone: readonly number[]): HostEntry[] {
	return perZone.flatMap((count, zone) => Array.from({length: count}, (_, i) => ({id: `host-${zone}-${i}`, zone: `zone-${zone}`})));
}

const fleets = fc.array(fc.integer({min: 1, max: 5}), {minLength: 1, maxLength: 13}).map(perZone => toHosts(perZone));

describe('pickWitnesses', () => {
	const shapes = [
		{
			perZone: [1], slots: 1, quorum: 1, masked: 0, survives: false,
		},
		{
			perZone: [6], slots: 6, quorum: 4, masked: 1, survives: false,
		},
		{
			perZone: [1, 1, 1], slots: 3, quorum: 3, masked: 2, survives: false,
		},
		{
			perZone: [3, 2, 2], slots: 6, quorum: 4, masked: 1, survives: true,
		},
		{
			perZone: [2, 2, 2, 1], slots: 7, quorum: 5, masked: 2, survives: true,
		},
		{
			perZone: [2, 2, 2, 2], slots: 8, quorum: 5, masked: 1, survives: true,
		},
		{
			perZone: [3, 3, 3], slots: 6, quorum: 4, masked: 1, survives: true,
		},
		{
			perZone: [34, 34, 34, 34, 33, 33, 33, 33, 33, 33, 33, 33], slots: 9, quorum: 6, masked: 2, survives: true,
		},
	];
	for (const {perZone, slots, quorum, masked, survives} of shapes) {
		it(`takes ${quorum} of ${slots} for zones of ${perZone.join(', ')}`, () => {
			const set = pickWitnesses('key', toHosts(perZone));
			assert.deepEqual(
				{
					slots: set.slots.length, quorum: set.quorum, masked: set.maskedSlots, survives: set.survivesZone,
				},
				{
					slots, quorum, masked, survives,
				},
			);
		});
	}

	it('gives no slots when no host is published, and a quorum that cannot be met', () => {
		assert.deepEqual(pickWitnesses('key', []), {
			slots: [], quorum: 1, maskedSlots: 0, survivesZone: false,
		});
	});

	it('makes two quorums overlap in more slots than it masks, and masks at least one slot', () => {
		fc.assert(fc.property(fleets, fc.string(), fc.integer({min: 0, max: 3}), (hosts, key, maskedSlots) => {
			const set = pickWitnesses(key, hosts, {maskedSlots});
			assert.ok((2 * set.quorum) - set.slots.length > set.maskedSlots);
			assert.ok(hosts.length < 2 || maskedSlots === 0 || set.maskedSlots >= 1);
			assert.equal(new Set(set.slots).size, set.slots.length);
		}));
	});

	it('does not depend on the order in which hosts are listed', () => {
		fc.assert(fc.property(fleets, fc.string(), (hosts, key) => {
			assert.deepEqual(pickWitnesses(key, hosts.toReversed()), pickWitnesses(key, hosts));
		}));
	});

	it('changes at most one witness when a host joins a listed zone', () => {
		fc.assert(fc.property(fc.constantFrom([2, 2, 2, 2], [3, 3, 3], [4, 4, 4, 4, 4, 4]), fc.string(), (perZone, key) => {
			const hosts = toHosts(perZone);
			const before = pickWitnesses(key, hosts).slots;
			const after = pickWitnesses(key, [...hosts, {id: 'host-new', zone: 'zone-0'}]).slots;
			assert.ok(before.filter(slot => !after.includes(slot)).length <= 1);
		}));
	});

	it('spreads keys evenly', () => {
		const hosts = toHosts(Array.from({length: 12}, () => 10));
		const counts = new Map<string, number>();
		const keys = 4000;
		for (let i = 0; i < keys; i++) {
			for (const slot of pickWitnesses(`key-${i}`, hosts).slots) {
				counts.set(slot, (counts.get(slot) ?? 0) + 1);
			}
		}

		const mean = keys * 9 / hosts.length;
		assert.ok([...counts.values()].every(count => count > mean * 0.7 && count < mean * 1.3));
		assert.equal(counts.size, hosts.length);
	});
});
