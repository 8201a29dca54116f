import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type Link} from './_test/create-network.js';
import {
	createConverged, threeZones, twoZones, collectNotAlive, zoneOf,
} from './_test/create-converged.js';
import {createMembership} from './index.js';

describe('createMembership over cut links', () => {
	type Cut = {name: string; zones: Readonly<Record<string, number>>; blocks: (link: Link) => boolean; allowed: readonly string[]};
	const cuts: readonly Cut[] = [
		{
			name: 'a link cut one way', zones: threeZones, blocks: ({from, to}) => from === 'a-1' && to === 'a-2', allowed: [],
		},
		{
			name: 'a link cut both ways', zones: threeZones, blocks: ({from, to}) => [from, to].sort().join(' ') === 'a-1 a-2', allowed: [],
		},
		{
			name: 'a link that flaps each second', zones: threeZones, blocks: ({from, to, at}) => at % 2000 < 1000 && [from, to].sort().join(' ') === 'a-1 a-2', allowed: [],
		},
		{
			name: 'the only link of a zone of two, with another zone as witness', zones: twoZones, blocks: ({from, to}) => zoneOf(from) === 'a' && zoneOf(to) === 'a', allowed: [],
		},
		{
			name: 'a fifth of all messages lost', zones: threeZones, blocks: ({at, from, to}) => ((at / 10) + Number(from.at(-1)) + (3 * Number(to.at(-1)))) % 5 === 0, allowed: ['suspect'],
		},
	];
	for (const {name, zones, blocks, allowed} of cuts) {
		it(`declares no host dead over ${name}`, () => {
			let isCut = false;
			const network = createConverged(zones, link => !isCut || !blocks(link));
			isCut = true;
			const lives = new Set([...collectNotAlive(network, 60_000)].map(entry => entry.split(' ')[1]!));
			assert.deepEqual([...lives].filter(life => life === 'dead' || (allowed.length > 0 && !allowed.includes(life))), []);
			isCut = false;
			network.run(15_000);
			assert.deepEqual(network.unseen(), []);
		});
	}

	it('keeps the hosts of a zone behind a cut suspect and not dead, and rejoins them', () => {
		let isCut = false;
		const network = createConverged(threeZones, ({from, to}) => !isCut || (zoneOf(from) === 'c') === (zoneOf(to) === 'c'));
		isCut = true;
		const seen = collectNotAlive(network, 60_000);
		assert.ok(![...seen].some(entry => entry.endsWith('dead')), [...seen].join(', '));
		assert.equal(network.life('a-1', 'c-2'), 'suspect');
		assert.equal(network.life('c-1', 'c-2'), 'alive');
		network.kill('c-3');
		network.run(15_000);
		assert.equal(network.life('c-1', 'c-3'), 'dead');
		assert.equal(network.life('a-1', 'c-3'), 'suspect');
		isCut = false;
		network.run(15_000);
		assert.deepEqual(network.unseen(), []);
		assert.deepEqual(network.others('c-3', 'dead'), []);
	});

	it('sees all live, connected hosts alive after any sequence of cuts, pauses and restarts', () => {
		const ids = Object.entries(threeZones).flatMap(([zone, count]) => Array.from({length: count}, (_, i) => `${zone}-${i + 1}`));
		const event = fc.oneof(
			fc.record({kind: fc.constant('pause' as const), id: fc.constantFrom(...ids), ms: fc.integer({min: 100, max: 20_000})}),
			fc.record({kind: fc.constant('restart' as const), id: fc.constantFrom(...ids), ms: fc.integer({min: 1, max: 3000})}),
			fc.record({kind: fc.constant('cut' as const), id: fc.constantFrom(...ids, 'a', 'b', 'c'), ms: fc.integer({min: 100, max: 20_000})}),
		);
		fc.assert(fc.property(fc.integer(), fc.array(fc.tuple(event, fc.integer({min: 0, max: 6000})), {maxLength: 6}), (seed, events) => {
			const cut = new Map<string, number>();
			const isBehind = (id: string, at: number) => (cut.get(id) ?? 0) > at || (cut.get(zoneOf(id)) ?? 0) > at;
			const network = createConverged(threeZones, ({from, to, at}) => zoneOf(from) === zoneOf(to)
				? !((cut.get(from) ?? 0) > at || (cut.get(to) ?? 0) > at)
				: !isBehind(from, at) && !isBehind(to, at), seed);
			for (const [{kind, id, ms}, gapMs] of events) {
				if (kind === 'pause') {
					network.pause(id, ms);
				} else if (kind === 'restart') {
					network.restart(id, 1000 + ms);
				} else {
					cut.set(id, network.now() + ms);
				}

				network.run(gapMs);
			}

			network.run(60_000);
			assert.deepEqual(network.unseen(), []);
		}), {numRuns: 25});
	});
});
