import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {twoZones} from './_test/create-converged.js';
import {createMembership, type HostRecord, type Membership} from './index.js';

// The replacement of a host is started while the old process still runs elsewhere. Each of the two receives the
// other's record from peers and raises its incarnation above it, for ever, and peers reach now one, now the other.
describe('createMembership when another process publishes records under the name of this host', () => {
	const create = (agentAddress: string, incarnation: number) => createMembership({
		id: 'a-1', zone: 'a', incarnation, agentAddress, seeds: [], startedAt: 0,
	});
	const hear = (membership: Membership, record: HostRecord, now: number) => membership.receive({
		kind: 'news', incarnation: 1, revision: 0, digest: 0, updates: [record],
	}, 'a-2', now);

	it('returns the address of the other of two live processes, until that one has been silent for a while', () => {
		const older = create('192.0.2.5:7401', 1000);
		const newer = create('192.0.2.9:7401', 5000);
		for (const now of [0, 100, 200]) {
			hear(older, newer.self(), now);
			hear(newer, older.self(), now);
		}

		assert.equal(older.twin(200), '192.0.2.9:7401');
		assert.equal(newer.twin(200), '192.0.2.5:7401');
		assert.equal(newer.twin(60_000), undefined);
	});

	const {self} = create('192.0.2.9:7401', 1000);
	const rumours: ReadonlyArray<{name: string; rumour: Partial<HostRecord>}> = [
		{name: 'an earlier process whose clock was ahead', rumour: {incarnation: 5000}},
		{name: 'an earlier process whose clock was behind', rumour: {incarnation: 10}},
		{name: 'the death of an earlier process', rumour: {incarnation: 1000, life: 'dead'}},
		{name: 'the leave of an earlier process', rumour: {incarnation: 1000, life: 'left'}},
		{name: 'a suspicion of itself', rumour: {agentAddress: '192.0.2.5:7401', life: 'suspect', witnesses: ['a-2']}},
		{name: 'its own death', rumour: {agentAddress: '192.0.2.5:7401', life: 'dead'}},
	];
	for (const {name, rumour} of rumours) {
		it(`reports no second process for ${name}, however often its record arrives`, () => {
			const membership = create('192.0.2.5:7401', 1000);
			for (const now of [0, 100, 200]) {
				hear(membership, {...self(), ...rumour}, now);
				assert.equal(membership.twin(now), undefined);
			}
		});
	}
});
