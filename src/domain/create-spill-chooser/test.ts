import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type HostStatus, type FleetView} from '../../ports/view.js';
import {
	toConfig, toSeededRandom, toServer, toView,
} from '../create-placement/_lib/fixtures.js';
import {type ServerLoad} from '../create-load-estimate/index.js';
import {createSpillChooser} from './index.js';

const zones = ['a', 'b', 'c', 'far'];
const config = toConfig(zones.map(zone => toServer(`${zone}-d`, 'decode', {zone})));
const [, ofB, ofC] = config.servers;
const noPartition: ReadonlySet<string> = new Set();
const toNeighbour = (id: string): HostStatus => ({
	id, zone: 'a', life: 'alive', incarnation: 1, entryAddress: '', agentAddress: '', leaving: false,
});

type SummaryFields = {free?: number; waitMs?: number; servers?: number; at?: number};

/** A view of a host in zone a with these summaries. */
function toSummarised(fields: Readonly<Record<string, SummaryFields>>, hosts: readonly string[] = ['h1']): FleetView {
	const summaries = Object.entries(fields).map(([zone, {free = 100, waitMs = 0, servers = 10, at = 0}]) => [zone, {
		zone, at, rows: [
			{
				pool: 'main', role: 'prefill' as const, servers, free: 1, waitMs,
			},
			{
				pool: 'main', role: 'decode' as const, servers, free, waitMs: 0,
			},
		],
	}] as const);
	return {...toView(config, [], hosts.map(id => toNeighbour(id))), zones: new Map(summaries)};
}

/** Share of each result in 2,000 choices. */
function toShares(chooser: ReturnType<typeof createSpillChooser>, view: FleetView, now: number, except: readonly string[] = []): Record<string, number> {
	const random = toSeededRandom(3);
	const counts = new Map<string, number>();
	for (let i = 0; i < 2000; i++) {
		const choice = chooser.choose({
			pool: 'main', zones: [{zone: 'b', distance: 0}, {zone: 'c', distance: 0}, {zone: 'far', distance: 1}], view, now, random, waitLimitMs: 1000, excluded: new Set(except),
		});
		const name = choice.kind === 'zone' ? choice.zone : choice.kind;
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return Object.fromEntries([...counts].map(([name, count]) => [name, Math.round(count / 200) / 10]));
}

describe('createSpillChooser', () => {
	const rows: Array<[string, Record<string, SummaryFields>, Record<string, number>]> = [
		['chooses in proportion to free places', {b: {free: 300}, c: {free: 200}}, {b: 0.6, c: 0.4}],
		['is blind without summaries', {}, {blind: 1}],
		['is blind when all summaries are stale', {b: {at: -50_000}, far: {at: -50_000}}, {blind: 1}],
		['chooses none when no zone has room', {b: {free: 0}, c: {free: 0}, far: {free: 0}}, {none: 1}],
		['chooses none where prompts wait too long', {b: {waitMs: 2000}}, {none: 1}],
		['chooses another region last', {b: {free: 0}, c: {free: 0}, far: {}}, {far: 1}],
	];
	for (const [name, fields, expected] of rows) {
		it(name, () => {
			assert.deepEqual(toShares(createSpillChooser({zone: 'a'}), toSummarised(fields), 0), expected);
		});
	}

	it('chooses no partitioned zone, and no excluded zone', () => {
		const chooser = createSpillChooser({zone: 'a'});
		const view = toSummarised({b: {free: 900}, c: {}});
		chooser.update(view, new Set(['b']), 0);
		assert.deepEqual(toShares(chooser, view, 0), {c: 1});
		assert.deepEqual(toShares(chooser, view, 0, ['c']), {none: 1});
	});

	it('subtracts the requests that it sent since the summary, multiplied by the live hosts of its zone', () => {
		const chooser = createSpillChooser({zone: 'a'});
		for (let i = 0; i < 50; i++) {
			chooser.noteSent(ofB!, 10);
		}

		assert.deepEqual(toShares(chooser, toSummarised({b: {}, c: {}}), 20), {b: 0.3, c: 0.7});
		assert.deepEqual(toShares(chooser, toSummarised({b: {}, c: {}}, ['h1', 'h2', 'h3', 'h4', 'h5']), 20), {c: 1});
		assert.deepEqual(toShares(chooser, toSummarised({b: {at: 15}, c: {at: 15}}), 20), {b: 0.5, c: 0.5});
	});

	const losses: Array<[string, FleetView, ReadonlySet<string>]> = [
		['was partitioned', toSummarised({b: {at: 900}, c: {at: 900}}), new Set(['b'])],
		['had lost its servers', toSummarised({b: {servers: 0, free: 0, at: 900}, c: {at: 900}}), noPartition],
		['had no summary', toSummarised({c: {at: 900}}), noPartition],
	];
	for (const [name, lost, partitioned] of losses) {
		it(`returns gradually to a zone that ${name}`, () => {
			const chooser = createSpillChooser({zone: 'a'});
			chooser.update(toSummarised({b: {}, c: {}}), noPartition, 0);
			assert.deepEqual(toShares(chooser, toSummarised({b: {}, c: {}}), 0), {b: 0.5, c: 0.5}, 'a zone that was never missing has no ramp');
			chooser.update(lost, partitioned, 1000);
			const back = toSummarised({b: {at: 1900}, c: {at: 1900}});
			chooser.update(back, noPartition, 2000);
			assert.deepEqual(toShares(chooser, back, 2000), {b: 0.1, c: 0.9});
			const later = toSummarised({b: {at: 12_000}, c: {at: 12_000}});
			chooser.update(later, noPartition, 12_000);
			assert.deepEqual(toShares(chooser, later, 12_000), {b: 0.5, c: 0.5});
		});
	}

	it('fills only unknown loads of other zones, with the mean of their zone', () => {
		const chooser = createSpillChooser({zone: 'a'});
		const load: ServerLoad = {
			slotsTotal: 20, slotsUsed: 1, backlogTokens: 0, tokensPerSecond: 8000, linkBytesPerSecond: 1, transfers: 0, own: 1, ownPromptTokens: 0, isUnknown: true,
		};
		const view = toSummarised({a: {free: 50}, b: {free: 50, waitMs: 500}, c: {free: 50, at: -50_000}});
		assert.equal(chooser.fillUnknownLoad(ofB!, load, view, 0).slotsUsed, 15);
		assert.equal(chooser.fillUnknownLoad({...ofB!, role: 'prefill'}, load, view, 0).backlogTokens, 4000);
		assert.equal(chooser.fillUnknownLoad(ofB!, {...load, isUnknown: false}, view, 0).slotsUsed, 1);
		assert.equal(chooser.fillUnknownLoad(ofC!, load, view, 0).slotsUsed, 1, 'the summary of zone c is stale');
		assert.equal(chooser.fillUnknownLoad(config.servers[0]!, load, view, 0).slotsUsed, 1, 'the server is in the own zone');
	});
});
