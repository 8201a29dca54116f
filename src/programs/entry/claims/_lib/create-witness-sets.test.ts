import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createWitnessSets} from './create-witness-sets.js';

const hosts = Array.from({length: 8}, (_, i) => ({id: `host-${i}`, zone: `zone-${i % 4}`}));

describe('createWitnessSets', () => {
	it('gives no set before there is a host list', () => {
		const sets = createWitnessSets(100);
		sets.setHosts([], 0);
		assert.deepEqual(sets.pick('key', 0), []);
	});

	it('asks the witnesses of the old list too, as long as its keys are accepted', () => {
		const sets = createWitnessSets(100);
		sets.setHosts(hosts, 0);
		sets.setHosts([...hosts], 10);
		assert.equal(sets.pick('key', 10).length, 1);
		sets.setHosts(hosts.slice(1), 20);
		assert.deepEqual(sets.pick('key', 119).map(set => set.slots.includes('host-0')), [true, false]);
		assert.deepEqual(sets.pick('key', 120).map(set => set.slots.includes('host-0')), [false]);
	});

	it('asks once when a change leaves the witnesses of a key as they were', () => {
		const many = Array.from({length: 400}, (_, i) => ({id: `host-${i}`, zone: `zone-${i % 12}`}));
		const sets = createWitnessSets(100);
		sets.setHosts(many, 0);
		sets.setHosts(many.slice(1), 1);
		const counts = Array.from({length: 200}, (_, i) => sets.pick(`key-${i}`, 1).length);
		assert.ok(counts.filter(count => count === 2).length < 20);
	});
});
