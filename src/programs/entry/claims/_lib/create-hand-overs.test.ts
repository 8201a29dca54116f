import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createHandOvers, toHandOverParts} from './create-hand-overs.js';

const claim = {
	workspace: 'w', key: 'k', claimId: 'c', digest: 'd', isRepeatable: false, claimant: {host: 'h', incarnation: 1, address: ''},
};

function toParts(count: number, incarnation = 1) {
	return toHandOverParts({
		slot: 'host-1', incarnation, vouchesFrom: 0, floor: 0, claims: Array.from({length: count}, () => claim),
	});
}

describe('createHandOvers', () => {
	it('gives a table to one successor alone, in its parts', () => {
		const handOvers = createHandOvers(() => 0);
		const parts = toParts(4500);
		assert.deepEqual(parts.map(part => part.claims.length), [2000, 2000, 500]);
		for (const part of parts) {
			assert.equal(handOvers.put(part), true);
		}

		assert.equal(handOvers.take('host-1', 2, 0).kind, 'part');
		assert.equal(handOvers.take('host-1', 3, 0).kind, 'nothing');
		assert.equal(handOvers.take('host-1', 2, 1).kind, 'part');
		assert.equal(handOvers.take('host-1', 2, 2).kind, 'part');
		assert.equal(handOvers.take('host-1', 2, 3).kind, 'nothing');
		assert.equal(handOvers.take('host-1', 3, 0).kind, 'nothing');
	});

	it('gives the same successor its parts again for 30 seconds, as a reply may be lost', () => {
		let now = 0;
		const handOvers = createHandOvers(() => now);
		handOvers.put(toParts(1)[0]!);
		assert.equal(handOvers.take('host-1', 2, 0).kind, 'part');
		now = 10_000;
		handOvers.sweep();
		assert.equal(handOvers.take('host-1', 2, 0).kind, 'part');
		now = 60_000;
		handOvers.sweep();
		assert.equal(handOvers.take('host-1', 2, 0).kind, 'nothing');
	});

	it('does not give a table back to the process that left it', () => {
		const handOvers = createHandOvers(() => 0);
		handOvers.put(toParts(1)[0]!);
		assert.equal(handOvers.take('host-1', 1, 0).kind, 'nothing');
		assert.equal(handOvers.take('host-1', 2, 0).kind, 'part');
	});

	it('gives no incomplete table, none of another slot, and none that has expired', () => {
		let now = 0;
		const handOvers = createHandOvers(() => now);
		const [first, second] = toParts(2001);
		assert.equal(handOvers.put(second!), false);
		handOvers.put(first!);
		assert.equal(handOvers.take('host-1', 2, 0).kind, 'nothing');
		handOvers.put(second!);
		assert.equal(handOvers.take('host-2', 2, 0).kind, 'nothing');
		now = 3_600_000;
		handOvers.sweep();
		assert.equal(handOvers.take('host-1', 2, 0).kind, 'nothing');
	});

	it('stores tables of eight slots at most', () => {
		const handOvers = createHandOvers(() => 0);
		const [part] = toParts(1);
		const taken = Array.from({length: 20}, (_, i) => handOvers.put({...part!, slot: `host-${i}`}));
		assert.equal(taken.filter(Boolean).length, 8);
	});
});
