/**
 * Guards against first tokens that are late because several hosts saw the same idle
 * server in the same outdated report and all sent prompts there. Each host prefers
 * its own subset of servers, whose load it knows from its own count, and uses the
 * others when the subset is full or slow.
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

/** Servers that a host picks, by role. */
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
	it('prefers the servers of its own subset, which no other host has in its subset', () => {
		for (const role of ['prefill', 'decode'] as const) {
			const taken = hosts.map(({id}) => toTaken(id, hosts)[role]);
			assert.deepEqual(taken.map(set => set.size), [4, 4, 4]);
			assert.equal(new Set(taken.flatMap(set => [...set])).size, 12);
		}
	});

	it('does not leave its subset for a server that looks only a little better, as other hosts may have chosen it already', () => {
		const own = toTaken('h1', hosts);
		const taken = toTaken('h1', hosts, {used: id => own.decode.has(id) ? 10 : 0, queued: id => own.prefill.has(id) ? 1600 : 0});
		assert.deepEqual(taken, own);
	});

	it('uses servers outside its subset when those of the subset are full or have long queues', () => {
		const own = toTaken('h1', hosts);
		const taken = toTaken('h1', hosts, {used: id => own.decode.has(id) ? 20 : 0, queued: id => own.prefill.has(id) ? 8000 : 0});
		assert.ok([...taken.decode].every(id => !own.decode.has(id)));
		assert.ok([...taken.prefill].every(id => !own.prefill.has(id)));
	});

	it('divides the servers only among the live hosts of its zone', () => {
		const rest = [toHost('h2', {life: 'dead'}), toHost('h3', {leaving: true}), toHost('h4', {zone: 'b'})];
		assert.equal(toTaken('h1', [toHost('h1'), ...rest]).decode.size, 12);
	});
});
