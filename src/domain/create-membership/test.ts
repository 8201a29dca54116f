import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createConverged, threeZones, twoZones, collectNotAlive,
} from './_test/create-converged.js';
import {createMembership} from './index.js';

describe('createMembership', () => {
	it('makes hosts that start together known to each other', () => {
		assert.equal(createConverged(threeZones).now(), 8000);
	});

	it('finds records that gossip has missed by the comparison of tables', () => {
		createConverged(threeZones, undefined, -2_147_483_623);
	});

	const deaths: ReadonlyArray<{zones: Readonly<Record<string, number>>; victim: string}> = [
		{zones: threeZones, victim: 'a-1'}, {zones: threeZones, victim: 'c-3'}, {zones: twoZones, victim: 'b-2'}, {zones: {a: 2}, victim: 'a-2'}, {zones: {a: 9}, victim: 'a-5'},
	];
	for (const {zones, victim} of deaths) {
		it(`suspects before it declares dead: ${victim} of ${JSON.stringify(zones)}`, () => {
			const network = createConverged(zones);
			network.kill(victim);
			const seen = collectNotAlive(network, 12_000);
			assert.deepEqual([...seen].sort(), [`${victim} dead`, `${victim} suspect`]);
			assert.deepEqual(network.others(victim, 'dead'), []);
		});
	}

	it('declares a host dead in a zone of two, whichever host suspects it first', () => {
		fc.assert(fc.property(fc.integer(), fc.constantFrom('a-1', 'a-2', 'b-1', 'b-2'), (seed, victim) => {
			const network = createConverged(twoZones, undefined, seed);
			network.run(30_000);
			network.kill(victim);
			network.run(12_000);
			assert.deepEqual(network.others(victim, 'dead'), []);
		}), {numRuns: 40});
	});

	it('keeps a host that is alone in its zone suspect: its death and a cut look the same', () => {
		const network = createConverged({a: 3, b: 1});
		network.kill('b-1');
		network.run(30_000);
		assert.deepEqual(network.others('b-1', 'suspect'), []);
	});

	it('informs all hosts at once when a host leaves, and never suspects it', () => {
		const network = createConverged(threeZones);
		network.leave('b-1');
		network.run(100);
		assert.deepEqual(network.others('b-1', 'left'), []);
		assert.deepEqual([...collectNotAlive(network, 10_000)], ['b-1 left']);
	});

	it('informs all hosts at once that a host drains', () => {
		const network = createConverged(threeZones);
		const {membership} = network.nodes.get('a-1')!;
		const messages = membership.state({leaving: true}, network.now());
		for (const {to, message} of messages) {
			network.nodes.get(to!)!.membership.receive(message, 'a-1', network.now());
		}

		assert.ok(messages.length < network.ids.length);
		network.run(2000);
		assert.ok([...network.nodes.values()].every(node => node.membership.hosts(network.now()).get('a-1')!.leaving));
	});

	const restarts: ReadonlyArray<{name: string; incarnation: number | undefined}> = [
		{name: 'with a later clock', incarnation: undefined},
		{name: 'with a clock that went back', incarnation: 5},
		{name: 'with the very same clock', incarnation: 1000},
	];
	for (const {name, incarnation} of restarts) {
		it(`sees a host alive again that was killed and restarts ${name}, with a higher incarnation`, () => {
			const network = createConverged(threeZones);
			const before = network.nodes.get('b-2')!.membership.self().incarnation;
			network.kill('b-2');
			network.run(12_000);
			network.restart('b-2', incarnation);
			network.run(12_000);
			assert.deepEqual(network.unseen(), []);
			assert.ok(network.nodes.get('b-2')!.membership.self().incarnation > before);
		});
	}

	it('converges after the restart of all hosts at once, with clocks off by two minutes either way', () => {
		const network = createConverged(threeZones);
		for (const [i, id] of network.ids.entries()) {
			network.restart(id, 1000 + (i % 2 === 0 ? -120_000 : 120_000));
		}

		network.run(10_000);
		assert.deepEqual(network.unseen(), []);
	});

	it('makes a host suspect no other host after its own pause, and sees it alive again', () => {
		const network = createConverged(threeZones);
		network.pause('a-2', 40_000);
		network.run(20_000);
		assert.deepEqual(network.others('a-2', 'dead'), []);
		network.run(20_000);
		const seen = collectNotAlive(network, 12_000);
		assert.deepEqual([...seen].filter(entry => !entry.startsWith('a-2 ')), []);
		assert.deepEqual(network.unseen(), []);
	});

	it('declares no host dead for a pause within the suspicion timeout', () => {
		const network = createConverged(threeZones);
		network.pause('a-2', 700);
		assert.ok(![...collectNotAlive(network, 8000)].some(entry => entry.endsWith('dead')));
		assert.deepEqual(network.unseen(), []);
	});

	it('returns the incarnation of an earlier entry of this host, so that a new entry can start above it', () => {
		const network = createConverged(twoZones);
		network.nodes.get('a-1')!.membership.state({entryAddress: 'x', entryIncarnation: 900}, network.now());
		network.run(8000);
		network.restart('a-1', 5);
		network.run(8000);
		assert.equal(network.nodes.get('a-1')!.membership.entrySeen().incarnation, 900);
	});
});
