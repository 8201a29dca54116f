/**
 * In a large fleet a host has load reports of its own zone only, and summaries of
 * other zones. An overloaded zone spills requests to zones whose summaries show
 * room, and refuses requests when none does, without trying the zones in turn.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ServerStatus} from '../../ports/view.js';
import {
	toConfig, toPlacementRequest, toReport, toSeededRandom, toServer, toStatus, toView,
} from './_lib/fixtures.js';
import {createPlacement} from './index.js';

const servers = ['a', 'b', 'c', 'far'].flatMap(zone => [1, 2, 3, 4].flatMap(i => [
	toServer(`${zone}-p${i}`, 'prefill', {zone}),
	toServer(`${zone}-d${i}`, 'decode', {zone}),
]));
const config = toConfig(servers, {zones: [{id: 'a', region: 'r'}, {id: 'b', region: 'r'}, {id: 'c', region: 'r'}, {id: 'far', region: 's'}]});

type SummaryFields = {free: number; waitMs?: number; at?: number};

/** A view with load reports of zone a, whose decode servers are full unless changed, and summaries of the other zones. */
function toFleet(fields: Readonly<Record<string, SummaryFields>>, {used = 20, queuedTokens = 0}: {used?: number; queuedTokens?: number} = {}) {
	const statuses = servers.map((entry): ServerStatus => entry.zone === 'a'
		? {...toStatus(entry, 1000), load: toReport(entry, entry.role === 'decode' ? {slotsUsed: used} : {queuedTokens})}
		: {
			id: entry.id, leaving: false, load: undefined, loadAt: 0, reachable: undefined,
		});
	const zones = Object.entries(fields).map(([zone, {free, waitMs = 0, at = 1000}]) => [zone, {
		zone, at, rows: [
			{
				pool: 'main', role: 'prefill' as const, servers: 4, free: 8, waitMs,
			},
			{
				pool: 'main', role: 'decode' as const, servers: 4, free, waitMs: 0,
			},
		],
	}] as const);
	return {...toView(config, statuses), zones: new Map(zones)};
}

/** Counts the zones of 100 picks, as pairs of prefill and decode zone. */
function pickZones(view: ReturnType<typeof toFleet>): Record<string, number> {
	const placement = createPlacement({zone: 'a'});
	const random = toSeededRandom(1);
	const counts = new Map<string, number>();
	for (let i = 0; i < 100; i++) {
		const name = placement.pick(toPlacementRequest(), view, 1000, random)
			.match(({prefill, decode}) => `${prefill.zone} ${decode.zone}`, ({reason}) => reason);
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return Object.fromEntries(counts);
}

describe('createPlacement with summaries of other zones', () => {
	const rows: Array<[string, ReturnType<typeof toFleet>, Record<string, number>]> = [
		['stays in its zone while its zone is fast enough', toFleet({b: {free: 80}}, {used: 10}), {'a a': 100}],
		['spills to a zone with room', toFleet({b: {free: 80}, c: {free: 0}}), {'b b': 100}],
		['spills prompts too when the prefill queues of its own zone are long', toFleet({b: {free: 80}}, {used: 10, queuedTokens: 40_000}), {'b b': 100}],
		['stays in its own zone when prefill queues elsewhere are as long', toFleet({b: {free: 80, waitMs: 1000}}, {used: 10, queuedTokens: 9000}), {'a a': 100}],
		['refuses when no zone has room', toFleet({b: {free: 0}, c: {free: 0}}), {'no-memory': 100}],
		['places both servers of a pair in another region, and only when its own region has no room', toFleet({b: {free: 0}, c: {free: 0}, far: {free: 10, waitMs: 300}}), {'far far': 100}],
	];
	for (const [name, view, expected] of rows) {
		it(name, () => {
			assert.deepEqual(pickZones(view), expected);
		});
	}

	it('spills in proportion to the free room of each zone', () => {
		const {'b b': toB = 0, 'c c': toC = 0} = pickZones(toFleet({b: {free: 90}, c: {free: 30}}));
		assert.equal(toB + toC, 100);
		assert.ok(toB > 60 && toB < 90, `${toB}`);
	});

	it('spills to random zones of its region when all summaries are stale', () => {
		const picked = pickZones(toFleet({b: {free: 80, at: -60_000}, far: {free: 80, at: -60_000}}));
		assert.deepEqual(new Set(Object.keys(picked).map(name => name.split(' ')[1])), new Set(['b', 'c']));
	});

	it('subtracts the requests that it sent from the room in the summary', () => {
		const placement = createPlacement({zone: 'a'});
		const view = toFleet({b: {free: 12}, c: {free: 0}, far: {free: 1000}});
		const random = toSeededRandom(1);
		const sentTo: string[] = [];
		for (let i = 0; i < 20; i++) {
			const picked = placement.pick(toPlacementRequest(), view, 1001, random)._unsafeUnwrap();
			placement.noteDispatched(picked, 1001);
			sentTo.push(picked.decode.zone);
		}

		assert.deepEqual(sentTo, Array.from({length: 20}, (_, i) => i < 12 ? 'b' : 'far'));
	});
});
