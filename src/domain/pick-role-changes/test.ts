import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type ServerEntry} from '../../ports/config.js';
import {pickRoleChanges, type RoleChange} from './index.js';

const toServer = (id: string, role: ServerEntry['role'], zone: string): ServerEntry => ({
	id, role, zone, url: `http://10.0.0.1:1/${id}`, pool: 'model', slots: 100, checksFence: false,
});

/** Prefill and decode servers, spread over three zones in turn. */
const toPool = (prefills: number, decodes: number): ServerEntry[] => [
	...Array.from({length: prefills}, (_, i) => toServer(`p${i}`, 'prefill', 'abc'[i % 3]!)),
	...Array.from({length: decodes}, (_, i) => toServer(`d${i}`, 'decode', 'abc'[i % 3]!)),
];

const none = new Set<string>();

const apply = (servers: readonly ServerEntry[], changes: readonly RoleChange[]): ServerEntry[] =>
	servers.map(server => ({...server, role: changes.find(change => change.server.id === server.id)?.role ?? server.role}));

const countPrefills = (servers: readonly ServerEntry[]): number => servers.filter(({role}) => role === 'prefill').length;

/*
 * Guards against a bad split, for example half of a pool being idle prefill servers
 * while streams are refused for lack of decode memory. Servers change until the share
 * is met. A server that restarts or disappears must not cause changes back and forth,
 * as each change costs seconds of a server.
 */
describe('pickRoleChanges', () => {
	const cases: ReadonlyArray<{prefills: number; decodes: number; expected: number; why: string}> = [
		{
			prefills: 3, decodes: 3, expected: 2, why: 'one prefill server too many',
		},
		{
			prefills: 2, decodes: 4, expected: 2, why: 'as wanted',
		},
		{
			prefills: 1, decodes: 5, expected: 1, why: 'half of what is wanted is enough to stay',
		},
		{
			prefills: 1, decodes: 8, expected: 2, why: 'less than half of what is wanted',
		},
		{
			prefills: 5, decodes: 8, expected: 5, why: 'with one less, the share would be below a third',
		},
		{
			prefills: 0, decodes: 6, expected: 1, why: 'no server does prefill',
		},
		{
			prefills: 2, decodes: 1, expected: 2, why: 'two prefill servers stay',
		},
		{
			prefills: 0, decodes: 2, expected: 0, why: 'too few to change any',
		},
		{
			prefills: 3, decodes: 0, expected: 2, why: 'no server decodes',
		},
		{
			prefills: 43, decodes: 55, expected: 33, why: 'a large pool changes in steps',
		},
	];
	for (const {prefills, decodes, expected, why} of cases) {
		it(`brings ${prefills} prefill and ${decodes} decode servers to ${expected}: ${why}`, () => {
			let servers = toPool(prefills, decodes);
			for (let step = 0; step < 20; step++) {
				servers = apply(servers, pickRoleChanges(servers, {prefillShare: 0.33, changing: none}));
			}

			assert.equal(countPrefills(servers), expected);
			assert.deepEqual(pickRoleChanges(servers, {prefillShare: 0.33, changing: none}), []);
		});
	}

	it('changes a server in the zone with the most servers of its role', () => {
		const servers = [toServer('p1', 'prefill', 'a'), toServer('p2', 'prefill', 'b'), toServer('p3', 'prefill', 'b'), ...toPool(0, 3)];
		const [change] = pickRoleChanges(servers, {prefillShare: 0.33, changing: none});
		assert.equal(change?.server.zone, 'b');
	});

	it('changes one server at a time in a small pool', () => {
		const servers = toPool(5, 3);
		assert.equal(pickRoleChanges(servers, {prefillShare: 0.33, changing: none}).length, 1);
		assert.deepEqual(pickRoleChanges(servers, {prefillShare: 0.33, changing: new Set(['p0'])}), []);
	});

	it('never changes the last decode server, keeps at least two prefill servers, and changes in one direction (property)', () => {
		fc.assert(fc.property(fc.integer({min: 0, max: 40}), fc.integer({min: 0, max: 40}), fc.double({min: 0.01, max: 0.99, noNaN: true}), (prefills, decodes, prefillShare) => {
			const servers = toPool(prefills, decodes);
			const changes = pickRoleChanges(servers, {prefillShare, changing: none});
			const after = apply(servers, changes);
			assert.ok(decodes === 0 || after.length - countPrefills(after) >= 1);
			assert.ok(countPrefills(after) >= Math.min(prefills, 2));
			assert.ok(new Set(changes.map(({role}) => role)).size <= 1, 'changes in both directions');
		}));
	});
});
