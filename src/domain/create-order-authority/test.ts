import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {createOrderAuthority, type OrderAuthority} from './index.js';

const graceMs = 10_000;
const lapseMs = 30_000;
const wall = 1_780_000_000_000;

function create(self = '10.0.0.2:1') {
	const yields: string[] = [];
	const authority = createOrderAuthority({
		self,
		onYield(address) {
			yields.push(address);
		},
	});
	return {authority, yields};
}

describe('createOrderAuthority', () => {
	it('lets the named host give orders after the grace period, and no other one', () => {
		const {authority} = create();
		authority.noteNamed(false, 0, wall);
		assert.equal(authority.mayGiveOrders(graceMs), false);
		assert.equal(authority.toClaim(graceMs), undefined);
		authority.noteNamed(true, graceMs, wall + graceMs);
		assert.equal(authority.mayGiveOrders((2 * graceMs) - 1), false);
		assert.equal(authority.mayGiveOrders(2 * graceMs), true);
		assert.deepEqual(authority.toClaim(2 * graceMs), {address: '10.0.0.2:1', sinceMs: wall + graceMs, ageMs: 0});
	});

	it('ends as soon as the settings name another host', () => {
		const {authority} = create();
		authority.noteNamed(true, 0, wall);
		authority.noteNamed(false, graceMs, wall + graceMs);
		assert.equal(authority.mayGiveOrders(graceMs), false);
	});

	// Guards against a host that was named by former settings and goes on giving orders beside the host that is named now.
	it('yields to a newer claim, although its own settings still name it', () => {
		const {authority, yields} = create();
		authority.noteNamed(true, 0, wall);
		authority.noteClaim({address: '10.0.0.3:1', sinceMs: wall + 20_000, ageMs: 500}, 21_000);
		authority.noteNamed(true, 22_000, wall + 22_000);
		assert.equal(authority.mayGiveOrders(22_000), false);
		assert.deepEqual(yields, ['10.0.0.3:1']);
		assert.deepEqual(authority.toClaim(22_000), {address: '10.0.0.3:1', sinceMs: wall + 20_000, ageMs: 1500});
	});

	it('ignores an older claim, and its own one when others pass it on', () => {
		const {authority} = create();
		authority.noteNamed(true, 0, wall);
		authority.noteClaim({address: '10.0.0.3:1', sinceMs: wall - 1, ageMs: 0}, 100);
		authority.noteClaim({address: '10.0.0.2:1', sinceMs: wall + 1, ageMs: 0}, 100);
		assert.equal(authority.mayGiveOrders(graceMs), true);
	});

	it('claims the orders anew once the other claim has lapsed', () => {
		const {authority} = create();
		authority.noteNamed(true, 0, wall);
		authority.noteClaim({address: '10.0.0.3:1', sinceMs: wall + 5000, ageMs: 0}, 5000);
		const lapsedAt = 5001 + lapseMs;
		authority.noteNamed(true, lapsedAt - 1, wall + lapsedAt - 1);
		assert.equal(authority.toClaim(lapsedAt - 1)!.address, '10.0.0.3:1');
		authority.noteNamed(true, lapsedAt, wall + lapsedAt);
		assert.equal(authority.mayGiveOrders(lapsedAt), false);
		assert.equal(authority.mayGiveOrders(lapsedAt + graceMs), true);
		assert.equal(authority.toClaim(lapsedAt)!.sinceMs, wall + lapsedAt);
	});

	it('does not keep a lapsed claim alive by passing it on', () => {
		const {authority} = create();
		authority.noteClaim({address: '10.0.0.3:1', sinceMs: wall, ageMs: lapseMs - 100}, 0);
		assert.equal(authority.toClaim(100)!.ageMs, lapseMs);
		assert.equal(authority.toClaim(101), undefined);
	});

	// Guards against two hosts that give orders at the same time, or in turn, whatever their clocks show.
	it('leaves one host in charge where several are named and hear each other within three seconds', () => {
		const named = fc.array(fc.record({at: fc.nat(60), skewMs: fc.integer({min: -2500, max: 2500})}), {minLength: 2, maxLength: 5});
		fc.assert(fc.property(named, plans => {
			const hosts: OrderAuthority[] = plans.map((_, i) => create(`10.0.0.${i + 1}:1`).authority);
			let before: {host: number; second: number; fence: number} | undefined;
			for (let second = 0; second <= 100; second++) {
				const now = second * 1000;
				for (const [i, {at, skewMs}] of plans.entries()) {
					hosts[i]!.noteNamed(second >= at, now, wall + now + skewMs);
				}

				if (second % 3 === 0) {
					const claims = hosts.map(host => host.toClaim(now));
					for (const host of hosts) {
						for (const claim of claims.filter(told => told !== undefined)) {
							host.noteClaim(claim, now);
						}
					}
				}

				const givers = [...hosts.keys()].filter(i => hosts[i]!.mayGiveOrders(now));
				assert.ok(givers.length <= 1, `${givers.join(', ')} give orders`);
				const [host] = givers;
				if (host !== undefined) {
					const fence = Math.floor((wall + now + plans[host]!.skewMs) / 1000);
					assert.ok(before === undefined || before.host === host || (fence > before.fence && second - before.second >= 3), 'a host took over too early');
					before = {host, second, fence};
				}
			}
		}));
	});

	// Guards against the same, where settings name hosts for a while, again and again, and clocks are stepped between claims.
	it('leaves one host in charge while settings change back and forth and clocks are stepped', () => {
		const spans = fc.array(fc.record({from: fc.nat(80), lengthS: fc.integer({min: 1, max: 60})}), {minLength: 1, maxLength: 3});
		const steps = fc.record({at: fc.nat(100), lengthS: fc.nat(20), byMs: fc.integer({min: -2500, max: 2500})});
		fc.assert(fc.property(fc.array(fc.record({spans, steps}), {minLength: 2, maxLength: 4}), plans => {
			const hosts = plans.map((plan, i) => ({
				...plan, authority: create(`10.0.0.${i + 1}:1`).authority, claimedAt: undefined as number | undefined, claimedWall: 0,
			}));
			let before: {host: number; second: number; fence: number} | undefined;
			for (let second = 0; second <= 180; second++) {
				const now = second * 1000;
				for (const host of hosts) {
					const {at, lengthS, byMs} = host.steps;
					const wallNow = wall + now + (second >= at && second < at + lengthS ? byMs : 0);
					host.authority.noteNamed(host.spans.some(span => second >= span.from && second < span.from + span.lengthS), now, wallNow);
					const isClaiming = host.authority.isClaiming();
					host.claimedWall = isClaiming && host.claimedAt === undefined ? wallNow : host.claimedWall;
					host.claimedAt = isClaiming ? host.claimedAt ?? now : undefined;
				}

				if (second % 3 === 0) {
					const claims = hosts.map(({authority}) => authority.toClaim(now));
					for (const {authority} of hosts) {
						for (const claim of claims.filter(told => told !== undefined)) {
							authority.noteClaim(claim, now);
						}
					}
				}

				const givers = [...hosts.keys()].filter(i => hosts[i]!.authority.mayGiveOrders(now));
				assert.ok(givers.length <= 1, `${givers.join(', ')} give orders`);
				const [giver] = givers;
				if (giver !== undefined) {
					const {claimedAt, claimedWall} = hosts[giver]!;
					const fence = Math.floor((claimedWall + now - claimedAt!) / 1000);
					assert.ok(before === undefined || (before.host === giver ? fence >= before.fence : fence > before.fence && second - before.second >= 3), `fence ${fence} of host ${giver} at ${second} s after ${JSON.stringify(before)}`);
					before = {host: giver, second, fence};
				}
			}
		}), {numRuns: 2000});
	});
});
