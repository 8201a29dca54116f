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

/** Lets all hosts tell each other the newest claim that they know. */
function exchangeClaims(hosts: readonly OrderAuthority[], now: number): void {
	const claims = hosts.map(host => host.toClaim(now)).filter(claim => claim !== undefined);
	for (const host of hosts) {
		for (const claim of claims) {
			host.noteClaim(claim, now);
		}
	}
}

type Span = {from: number; lengthS: number};
/** When the settings name a host, and when its clock is stepped by how much. */
type Course = {named: Span[]; step: Span & {byMs: number}};
type GivenOrder = {host: string; second: number; fence: number};

const courses: fc.Arbitrary<Course> = fc.record({
	named: fc.array(fc.record({from: fc.nat(80), lengthS: fc.integer({min: 1, max: 60})}), {minLength: 1, maxLength: 3}),
	step: fc.record({from: fc.nat(100), lengthS: fc.nat(20), byMs: fc.integer({min: -2500, max: 2500})}),
});

const isWithin = (second: number, {from, lengthS}: Span): boolean => second >= from && second < from + lengthS;

/** A host whose fencing tokens are the wall clock at its claim and the time since. */
function createModelHost(address: string, {named, step}: Course) {
	const {authority} = create(address);
	let claim: {second: number; wallNow: number} | undefined;
	return {
		authority,
		readSettings(second: number): void {
			const wallNow = wall + (second * 1000) + (isWithin(second, step) ? step.byMs : 0);
			authority.noteNamed(named.some(span => isWithin(second, span)), second * 1000, wallNow);
			claim = authority.isClaiming() ? claim ?? {second, wallNow} : undefined;
		},
		toOrder(second: number): GivenOrder | undefined {
			return authority.mayGiveOrders(second * 1000) && claim !== undefined ? {host: address, second, fence: Math.floor(claim.wallNow / 1000) + second - claim.second} : undefined;
		},
	};
}

/** Whether an order keeps three seconds and a higher fence to one of another host, and a fence as high to one of the same host. */
function mayFollow(order: GivenOrder | undefined, before: GivenOrder | undefined): boolean {
	if (order === undefined || before === undefined) {
		return true;
	}

	return order.host === before.host ? order.fence >= before.fence : order.fence > before.fence && order.second - before.second >= 3;
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
					exchangeClaims(hosts, now);
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
		fc.assert(fc.property(fc.array(courses, {minLength: 2, maxLength: 4}), plans => {
			const hosts = plans.map((course, i) => createModelHost(`10.0.0.${i + 1}:1`, course));
			let before: GivenOrder | undefined;
			for (let second = 0; second <= 180; second++) {
				for (const host of hosts) {
					host.readSettings(second);
				}

				if (second % 3 === 0) {
					exchangeClaims(hosts.map(({authority}) => authority), second * 1000);
				}

				const orders = hosts.map(host => host.toOrder(second)).filter(order => order !== undefined);
				assert.ok(orders.length <= 1, `${orders.map(({host}) => host).join(', ')} give orders`);
				assert.ok(mayFollow(orders[0], before), JSON.stringify([before, orders[0]]));
				before = orders[0] ?? before;
			}
		}), {numRuns: 2000});
	});
});
