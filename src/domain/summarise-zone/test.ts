import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	toConfig, toServer, toStatus, toView,
} from '../create-placement/_lib/fixtures.js';
import {type ServerStatus} from '../../ports/view.js';
import {summariseZone} from './index.js';

const servers = [
	toServer('d1', 'decode'), toServer('d2', 'decode'), toServer('p1', 'prefill'), toServer('p2', 'prefill'), toServer('far', 'decode', {zone: 'b'}), toServer('w', 'plain', {pool: 'web'}),
];
const busy = new Map<string, Partial<NonNullable<ServerStatus['load']>>>([
	['d1', {slotsUsed: 15}], ['d2', {slotsUsed: 19, queued: 4}], ['p1', {queuedTokens: 8000}], ['p2', {queuedTokens: 0}],
]);

function sum(change: Record<string, Partial<ServerStatus>> = {}) {
	const statuses = servers.map(entry => ({...toStatus(entry, 1000, busy.get(entry.id)), ...change[entry.id]}));
	return summariseZone(toView(toConfig(servers), statuses), 'a', 1500).rows.map(({role, servers: count, free, waitMs}) => [role, count, free, waitMs]);
}

describe('summariseZone', () => {
	it('sums up free slots and the wait for each pool and role of the zone', () => {
		assert.deepEqual(sum(), [['prefill', 2, 40, 500], ['decode', 2, 5, 0]]);
	});

	it('has the mean time of its reports', () => {
		const statuses = servers.slice(0, 2).map((entry, i) => toStatus(entry, 1000 + (i * 200)));
		assert.equal(summariseZone(toView(toConfig(servers), statuses), 'a', 1500).at, 1100);
	});

	const rows: Array<[string, Partial<ServerStatus>]> = [
		['leaving', {leaving: true}],
		['not reached', {reachable: false}],
		['silent for long', {loadAt: -20_000}],
		['never heard', {load: undefined}],
		['loading', {load: {...toStatus(servers[0]!, 0).load!, state: 'loading'}}],
		['of another role now', {load: {...toStatus(servers[0]!, 0).load!, role: 'prefill'}}],
	];
	for (const [name, change] of rows) {
		it(`leaves out a server that is ${name}`, () => {
			assert.deepEqual(sum({d1: change})[1], ['decode', 1, 0, 0]);
		});
	}

	it('returns empty rows when no server is left, and no rows without a configuration', () => {
		const gone = {leaving: true};
		assert.deepEqual(sum({d1: gone, d2: gone})[1], ['decode', 0, 0, 0]);
		assert.deepEqual(summariseZone({...toView(toConfig([]), []), accepted: undefined}, 'a', 7), {rows: [], at: 7});
	});
});
