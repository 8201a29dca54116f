import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type SummaryRow} from '../../ports/view.js';
import {toConfig} from '../create-placement/_lib/fixtures.js';
import {createZoneSummaries} from './index.js';

const zones = ['a', 'b', 'c'];
const config = toConfig([], {zones: zones.map(id => ({id, region: 'r'}))});
const toRows = (free: number): SummaryRow[] => [{
	pool: 'main', role: 'decode', servers: 3, free, waitMs: 0,
}];

const toSummary = (zone: string, free: number, at: number) => ({zone, at, rows: toRows(free)});

/** Free slots in a zone's summary, as a host sees them. */
const toFree = (summaries: ReturnType<typeof createZoneSummaries>, zone: string, now: number) => summaries.view(config, now).get(zone)?.rows[0]?.free;

describe('createZoneSummaries', () => {
	it('passes a summary on with its age', () => {
		const [maker, bridge, host] = [createZoneSummaries(), createZoneSummaries(), createZoneSummaries()];
		maker.setOwn(toSummary('a', 16, 1000), 1000, 5_000_000);
		assert.equal(bridge.merge(maker.pack(1200)!, 50_000, 50_000), true);
		assert.equal(host.merge(bridge.pack(50_300)!, 900, 900), true);
		assert.deepEqual([...host.view(config, 900).values()], [{zone: 'a', at: 400, rows: toRows(16)}]);
		assert.equal(host.merge(bridge.pack(50_300)!, 900, 900), false, 'the summary is known already');
	});

	it('packs 12 zones of 3 models and 2 roles in under 500 bytes', () => {
		const summaries = createZoneSummaries();
		const rows = ['x', 'y', 'z'].flatMap(pool => (['prefill', 'decode'] as const).map(role => ({
			pool, role, servers: 70, free: 900, waitMs: 1234,
		})));
		for (let i = 0; i < 12; i++) {
			summaries.setOwn({zone: `zone-${i}`, at: 0, rows}, 0, 0);
		}

		assert.ok(summaries.pack(0)!.length < 500, `${summaries.pack(0)!.length}`);
	});

	it('continues the stamps of the other host that makes the zone\'s summary, however far its own clock is behind', () => {
		const [ahead, behind, host] = [createZoneSummaries(), createZoneSummaries(), createZoneSummaries()];
		ahead.setOwn(toSummary('a', 1, 0), 0, 90_000_000);
		behind.merge(ahead.pack(0)!, 0, 0);
		host.merge(ahead.pack(0)!, 0, 0);
		behind.setOwn(toSummary('a', 8, 2000), 2000, 1000);
		host.merge(behind.pack(2000)!, 2000, 2000);
		assert.equal(toFree(host, 'a', 2000), 8);
	});

	it('accepts summaries of a zone that restarted with slower clocks, once its former summary is stale', () => {
		const [before, after, host] = [createZoneSummaries(), createZoneSummaries(), createZoneSummaries()];
		before.setOwn(toSummary('a', 1, 0), 0, 90_000_000);
		host.merge(before.pack(0)!, 0, 0);
		after.setOwn(toSummary('a', 8, 0), 0, 1000);
		host.merge(after.pack(0)!, 100, 100);
		assert.equal(toFree(host, 'a', 100), 1);
		after.setOwn(toSummary('a', 8, 20_000), 20_000, 21_000);
		host.merge(after.pack(20_000)!, 20_100, 20_100);
		assert.equal(toFree(host, 'a', 20_100), 8);
	});

	it('drops stale summaries, and passes none on', () => {
		const summaries = createZoneSummaries({staleAfterMs: 1000});
		summaries.setOwn(toSummary('a', 1, 0), 0, 0);
		assert.equal(summaries.view(config, 999).size, 1);
		assert.equal(summaries.view(config, 1000).size, 0);
		assert.equal(summaries.pack(1000), undefined);
	});

	it('has the same view on hosts that received the same summaries, in any order and any number of times', () => {
		const words = fc.array(fc.record({zone: fc.constantFrom(...zones), free: fc.integer({min: 0, max: 40})}), {minLength: 1, maxLength: 8});
		fc.assert(fc.property(words, fc.infiniteStream(fc.nat()), (said, order) => {
			const maker = createZoneSummaries();
			const packets = said.map(({zone, free}, i) => {
				maker.setOwn(toSummary(zone, free, i), i, 0);
				return maker.pack(i, zone)!;
			});
			const [one, other] = [createZoneSummaries(), createZoneSummaries()];
			for (const packet of packets) {
				one.merge(packet, 0, 0);
			}

			const shuffled = [...packets, ...packets].map(packet => ({packet, place: Number(order.next().value)})).sort((a, b) => a.place - b.place);
			for (const {packet} of shuffled) {
				other.merge(packet, 0, 0);
			}

			assert.deepEqual(other.view(config, 0), one.view(config, 0));
		}));
	});

	it('never reports more free slots, or a shorter wait, than the summary had', () => {
		fc.assert(fc.property(fc.nat({max: 100_000}), fc.nat({max: 100_000}), (free, waitMs) => {
			const [maker, host] = [createZoneSummaries(), createZoneSummaries()];
			maker.setOwn({
				zone: 'a', at: 0, rows: [{
					pool: 'main', role: 'prefill', servers: 1, free, waitMs,
				}],
			}, 0, 0);
			host.merge(maker.pack(0)!, 0, 0);
			const [row] = host.view(config, 0).get('a')!.rows;
			assert.ok(row!.free <= free && row!.free >= Math.floor(free * 0.88), `${free} became ${row!.free}`);
			assert.ok(row!.waitMs >= waitMs && row!.waitMs <= Math.ceil(waitMs * 1.13), `${waitMs} became ${row!.waitMs}`);
		}));
	});

	it('accepts any bytes without an error, and ignores an unknown format', () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 100}), bytes => {
			const summaries = createZoneSummaries();
			summaries.merge(bytes, 0, 0);
			summaries.merge(Uint8Array.from([1, ...bytes]), 0, 0);
			assert.ok(summaries.view(config, 0).size <= zones.length);
		}));
		const maker = createZoneSummaries();
		maker.setOwn(toSummary('a', 1, 0), 0, 0);
		const next = maker.pack(0)!;
		next[0] = 2;
		assert.equal(createZoneSummaries().merge(next, 0, 0), false);
	});
});
