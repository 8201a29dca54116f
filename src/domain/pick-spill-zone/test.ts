import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toSeededRandom} from '../create-placement/_lib/fixtures.js';
import {pickSpillZone, type SpillZone} from './index.js';

const now = 100_000;
const toZone = (zone: string, change: Partial<SpillZone> = {}): SpillZone => ({
	zone, distance: 0, isReachable: true, free: 100, spilled: 0, waitMs: 0, at: now, returnedAt: -Infinity, ...change,
});

/** Share of each zone in 20,000 picks. */
function toShares(zones: readonly SpillZone[], options = {}): Record<string, number> {
	const random = toSeededRandom(5);
	const counts = new Map<string, number>();
	for (let i = 0; i < 20_000; i++) {
		const zone = pickSpillZone(zones, now, random, options) ?? 'none';
		counts.set(zone, (counts.get(zone) ?? 0) + 1);
	}

	return Object.fromEntries([...counts].map(([zone, count]) => [zone, count / 20_000]));
}

const anyZone = fc.record({
	zone: fc.string(),
	distance: fc.integer({min: 0, max: 2}),
	isReachable: fc.boolean(),
	free: fc.integer({min: 0, max: 1000}),
	spilled: fc.integer({min: 0, max: 300}),
	waitMs: fc.integer({min: 0, max: 3000}),
	at: fc.integer({min: now - 40_000, max: now}),
	returnedAt: fc.constantFrom(-Infinity, now - 1000),
}, {noNullPrototype: true});

describe('pickSpillZone', () => {
	const rows: Array<[string, SpillZone[], Record<string, number>]> = [
		['picks in proportion to the free room', [toZone('b', {free: 300}), toZone('c')], {b: 0.75, c: 0.25}],
		['subtracts the requests that were spilled since', [toZone('b', {free: 300, spilled: 200}), toZone('c')], {b: 0.5, c: 0.5}],
		['gives an older summary less weight', [toZone('b', {at: now - 10_000}), toZone('c')], {b: 1 / 3, c: 2 / 3}],
		['sends less where prompts wait', [toZone('b', {waitMs: 500}), toZone('c')], {b: 1 / 3, c: 2 / 3}],
		['sends nothing where prompts wait too long', [toZone('b', {waitMs: 1000}), toZone('c', {free: 1})], {c: 1}],
		['stays in its region while the region has room', [toZone('b', {free: 1}), toZone('far', {distance: 1, free: 9000})], {b: 1}],
		['leaves its region when the region has no room', [toZone('b', {free: 0}), toZone('far', {distance: 1})], {far: 1}],
		['sends nothing to a partitioned zone', [toZone('b', {isReachable: false, free: 9000}), toZone('c', {free: 1})], {c: 1}],
		['returns gradually to a zone that came back', [toZone('b', {returnedAt: now}), toZone('c')], {b: 0.1 / 1.1, c: 1 / 1.1}],
		['limits requests to such a zone even if no other zone is near', [toZone('b', {returnedAt: now, spilled: 10}), toZone('far', {distance: 1})], {far: 1}],
		['uses the full room of such a zone after the ramp', [toZone('b', {returnedAt: now - 10_000}), toZone('c')], {b: 0.5, c: 0.5}],
		['picks in proportion to the reported room when no room is left', [toZone('b', {free: 300, spilled: 300}), toZone('far', {spilled: 100, distance: 1})], {b: 0.75, far: 0.25}],
		['returns nothing when no zone has room', [toZone('b', {free: 0}), toZone('c', {free: 0})], {none: 1}],
		['returns nothing when all summaries are stale', [toZone('b', {at: now - 20_000}), toZone('c', {at: -Infinity})], {none: 1}],
		['returns nothing without zones', [], {none: 1}],
	];
	for (const [name, zones, expected] of rows) {
		it(name, () => {
			const shares = toShares(zones, {waitLimitMs: 1000});
			assert.deepEqual(Object.keys(shares).sort(), Object.keys(expected).sort());
			for (const [zone, share] of Object.entries(expected)) {
				assert.ok(Math.abs(shares[zone]! - share) < 0.02, `${zone}: ${shares[zone]!}`);
			}
		});
	}

	it('picks in proportion among many zones', () => {
		const zones = Array.from({length: 11}, (_, i) => toZone(`z${i}`, {free: (i + 1) * 10}));
		const shares = toShares(zones);
		for (const {zone, free} of zones) {
			assert.ok(Math.abs(shares[zone]! - (free / 660)) < 0.01);
		}
	});

	it('picks only a reachable zone with a fresh summary and room, and the nearest such zones (property)', () => {
		fc.assert(fc.property(fc.array(anyZone, {maxLength: 12}), fc.nat(), (zones, seed) => {
			const named = zones.map((zone, i) => ({...zone, zone: `z${i}`}));
			const id = pickSpillZone(named, now, toSeededRandom(seed), {waitLimitMs: 2000});
			const toRoom = ({free, returnedAt}: SpillZone) => free * (returnedAt === -Infinity ? 1 : 0.19);
			const known = named.filter(({isReachable, at, free, waitMs}) => isReachable && now - at < 20_000 && free > 0 && waitMs < 2000);
			const open = known.filter(zone => toRoom(zone) > zone.spilled);
			const picked = named.find(({zone}) => zone === id);
			assert.equal(picked !== undefined, known.length > 0);
			assert.ok(!picked || known.includes(picked));
			assert.ok(!picked || open.length === 0 || (open.includes(picked) && open.every(({distance}) => distance >= picked.distance)));
		}), {numRuns: 1000});
	});
});
