/**
 * The caller waits for its first token behind prompts that its host could not
 * see: other hosts saw the same idle server in the same late report, and sent
 * theirs there too. So each host sends to servers of its own first, whose load
 * it knows by its own count, and to the others when those will not do.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type HostStatus} from '../../ports/view.js';
import {
	toConfig, toPlacementRequest, toSeededRandom, toServer, toStatus, toView,
} from './_lib/fixtures.js';
import {createPlacement} from './index.js';

const names = Array.from({length: 12}, (_, i) => String(i));
const prefills = names.map(name => toServer(`p${name}`, 'prefill'));
const decodes = names.map(name => toServer(`d${name}`, 'decode'));

type Loads = {used?: (id: string) => number; queued?: (id: string) => number};

const toHost = (id: string, change: Partial<HostStatus> = {}): HostStatus => ({
	id, zone: 'a', life: 'alive', incarnation: 1, entryAddress: '', agentAddress: '', leaving: false, ...change,
});

const hosts = ['h1', 'h2', 'h3'].map(id => toHost(id));

/** Servers that a host takes, each kind apart. */
const toTaken = (host: string, known: readonly HostStatus[], {used = () => 0, queued = () => 0}: Loads = {}) => {
	const decider = createPlacement({zone: 'a', host});
	const random = toSeededRandom(3);
	const statuses = [
		...prefills.map(entry => toStatus(entry, 1000, {queuedTokens: queued(entry.id)})),
		...decodes.map(entry => toStatus(entry, 1000, {slotsUsed: used(entry.id)})),
	];
	const view = toView(toConfig([...prefills, ...decodes]), statuses, known);
	const picks = Array.from({length: 150}, () => decider.pick(toPlacementRequest(), view, 1000, random)._unsafeUnwrap());
	return {prefill: new Set(picks.map(pick => pick.prefill.id)), decode: new Set(picks.map(pick => pick.decode.id))};
};

describe('createPlacement among hosts of its zone', () => {
	it('sends to servers of its own first, which are those of no other host', () => {
		for (const role of ['prefill', 'decode'] as const) {
			const taken = hosts.map(({id}) => toTaken(id, hosts)[role]);
			assert.deepEqual(taken.map(set => set.size), [4, 4, 4]);
			assert.equal(new Set(taken.flatMap(set => [...set])).size, 12);
		}
	});

	it('does not chase a server that looks a little better, as others may have done so already', () => {
		const own = toTaken('h1', hosts);
		const taken = toTaken('h1', hosts, {used: id => own.decode.has(id) ? 10 : 0, queued: id => own.prefill.has(id) ? 1600 : 0});
		assert.deepEqual(taken, own);
	});

	it('sends to the others when its own are full, or their queues long', () => {
		const own = toTaken('h1', hosts);
		const taken = toTaken('h1', hosts, {used: id => own.decode.has(id) ? 20 : 0, queued: id => own.prefill.has(id) ? 8000 : 0});
		assert.ok([...taken.decode].every(id => !own.decode.has(id)));
		assert.ok([...taken.prefill].every(id => !own.prefill.has(id)));
	});

	it('divides the servers among living hosts of its zone alone', () => {
		const rest = [toHost('h2', {life: 'dead'}), toHost('h3', {leaving: true}), toHost('h4', {zone: 'b'})];
		assert.equal(toTaken('h1', [toHost('h1'), ...rest]).decode.size, 12);
	});
});
