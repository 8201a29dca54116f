/**
 * Requests are served in their own zone as long as it is fast enough. When the zone
 * is overloaded, requests spill to other zones of the region, never to a
 * partitioned zone, and only gradually to a zone that has just come back, as such a
 * zone looks empty to all hosts at once.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ServerStatus, type HostStatus} from '../../ports/view.js';
import {
	toConfig, toPlacementRequest, toReport, toSeededRandom, toServer, toStatus, toView,
} from './_lib/fixtures.js';
import {createPlacement} from './index.js';

const servers = ['a', 'b', 'far'].flatMap(zone => [1, 2, 3].flatMap(i => [
	toServer(`${zone}-p${i}`, 'prefill', {zone}),
	toServer(`${zone}-d${i}`, 'decode', {zone}),
]));
const config = toConfig(servers, {zones: [{id: 'a', region: 'r'}, {id: 'b', region: 'r'}, {id: 'far', region: 's'}]});

const toHost = (zone: string, life: HostStatus['life']): HostStatus => ({
	id: `${zone}-h`, zone, life, incarnation: 1, entryAddress: '', agentAddress: '', leaving: false,
});

type Change = {
	stepIn?: Record<string, number>;
	usedIn?: Record<string, number>;
	queuedIn?: Record<string, number>;
	lives?: Record<string, HostStatus['life']>;
	unreachable?: string;
	neverReported?: string;
};

const toFleet = (now: number, {stepIn = {}, usedIn = {}, queuedIn = {}, lives = {}, unreachable, neverReported}: Change) => {
	const statuses = servers.filter(({zone}) => zone !== neverReported).map((entry): ServerStatus => ({
		...toStatus(entry, now),
		load: toReport(entry, entry.role === 'decode'
			? {slotsUsed: usedIn[entry.zone] ?? 0, tokensPerSecond: 1000 / (stepIn[entry.zone] ?? 20)}
			: {queuedTokens: queuedIn[entry.zone] ?? 0}),
		reachable: entry.zone !== unreachable,
	}));
	return toView(config, statuses, ['a', 'b', 'far'].map(zone => toHost(zone, lives[zone] ?? 'alive')));
};

/** Counts the decode zones, or refusal reasons, of `count` picks. */
const pickZones = (placement: ReturnType<typeof createPlacement>, view: ReturnType<typeof toFleet>, now: number, count = 60) => {
	const random = toSeededRandom(now + 1);
	const zones = new Map<string, number>();
	for (let i = 0; i < count; i++) {
		const picked = placement.pick(toPlacementRequest(), view, now, random);
		const name = picked.match(value => value.decode.zone, refusal => refusal.reason);
		zones.set(name, (zones.get(name) ?? 0) + 1);
	}

	return Object.fromEntries(zones);
};

describe('createPlacement across zones', () => {
	const rows: Array<[string, Change, Record<string, number>]> = [
		['stays in its zone while its zone is fast enough', {usedIn: {a: 15}}, {a: 60}],
		['spills to its region when its decode servers are full', {usedIn: {a: 20}}, {b: 60}],
		['spills to its region when its prefill queues would miss the target', {queuedIn: {a: 40_000}}, {b: 60}],
		['spills to its region when tokens are slow in its own zone', {stepIn: {a: 80}}, {b: 60}],
		['stays when tokens are as slow in its whole region', {stepIn: {a: 80, b: 80}}, {a: 60}],
		['stays in its zone before the first reports of its servers, as just after a start', {neverReported: 'a'}, {a: 60}],
		['never leaves its region', {usedIn: {a: 20, b: 20}}, {'no-memory': 60}],
		['never spills to a zone whose hosts are all dead', {usedIn: {a: 20}, lives: {b: 'dead'}}, {'no-memory': 60}],
		['never spills to unreachable servers', {usedIn: {a: 20}, unreachable: 'b'}, {'no-memory': 60}],
		['tries its own zone when no other is left, even if polls report all of its servers as unreachable', {usedIn: {b: 20}, unreachable: 'a'}, {a: 60}],
		['prefers a reachable zone to one that may be unreachable', {unreachable: 'a'}, {b: 60}],
		['keeps serving in its own zone when it knows no live host', {lives: {a: 'suspect', b: 'dead', far: 'dead'}}, {a: 60}],
	];
	for (const [name, change, expected] of rows) {
		it(name, () => {
			assert.deepEqual(pickZones(createPlacement({zone: 'a'}), toFleet(1000, change), 1000), expected);
		});
	}

	it('tries unreachable servers of the region for a zone without servers, when no others are left', () => {
		const remote = toConfig(servers.filter(({zone}) => zone !== 'a'), {zones: config.zones});
		const view = {...toFleet(1000, {unreachable: 'b'}), accepted: toView(remote, []).accepted};
		assert.deepEqual(pickZones(createPlacement({zone: 'a'}), view, 1000), {b: 60});
	});

	it('tries ejected servers rather than refuse when its only other zone is partitioned', () => {
		const plains = ['a', 'b'].map(zone => toServer(`${zone}-plain`, 'plain', {zone, pool: 'web'}));
		const pools = toConfig([...servers.filter(({id}) => /^[ab]-.1$/v.test(id)), ...plains], {zones: config.zones});
		const view = {...toFleet(1000, {lives: {b: 'dead'}}), accepted: toView(pools, []).accepted};
		const placement = createPlacement({zone: 'a', health: {failuresToEject: 1}});
		assert.ok(placement.pickPlain({pool: 'web'}, view, 1000, toSeededRandom(1)).isOk());
		for (const entry of pools.servers.filter(({zone}) => zone === 'a')) {
			placement.noteFailure(entry, {kind: 'broken', reason: undefined}, 1000);
		}

		assert.equal(placement.pickPlain({pool: 'web'}, view, 1001, toSeededRandom(1))._unsafeUnwrap().server.id, 'a-plain');
		assert.deepEqual(pickZones(placement, view, 1001), {a: 60});
	});

	it('uses a zone without live hosts only when no other is left, and while other hosts reach its servers', () => {
		const toReached = (change: Change, reachableAt: number) => {
			const view = toFleet(1000, {...change, lives: {b: 'dead'}});
			return {...view, servers: new Map([...view.servers].map(([id, status]) => [id, {...status, reachableAt}]))};
		};

		assert.deepEqual(pickZones(createPlacement({zone: 'a'}), toReached({}, 1000), 1000), {a: 60});
		assert.deepEqual(pickZones(createPlacement({zone: 'a'}), toReached({usedIn: {a: 20}}, 1000), 1000), {b: 60});
		assert.deepEqual(pickZones(createPlacement({zone: 'a'}), toReached({usedIn: {a: 20}}, -5000), 1000), {'no-memory': 60});
	});

	it('bounds the account of a large pool, and counts the servers that were left out', () => {
		const many = Array.from({length: 600}, (_, i) => toServer(`s${i}`, i % 2 === 0 ? 'prefill' : 'decode', {zone: i < 400 ? 'a' : 'far'}));
		const big = toConfig(many, {zones: config.zones});
		const view = toView(big, many.map(entry => toStatus(entry, 1000)));
		const {passedOver, counts, notLookedAt} = createPlacement({zone: 'a'}).pick(toPlacementRequest(), view, 1000, toSeededRandom(1))._unsafeUnwrap().account();
		assert.ok(passedOver.length <= 64);
		assert.equal(counts['other-region'], 200);
		assert.equal(notLookedAt, 400 - 256);
	});

	it('returns gradually to a zone that was partitioned', () => {
		const placement = createPlacement({zone: 'a', health: {rampMs: 10_000, rampFrom: 0.1}});
		const crowded = {queuedIn: {a: 9000}};
		assert.deepEqual(pickZones(placement, toFleet(1000, {...crowded, lives: {b: 'dead'}}), 1000), {a: 60});
		const spilled = [2000, 6000, 20_000].map(now => pickZones(placement, toFleet(now, crowded), now, 400).b ?? 0);
		assert.ok(spilled[0]! < spilled[2]!, `${spilled.join(', ')}`);
		assert.equal(spilled[2], 400);
	});
});
