import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ok} from 'neverthrow';
import {type HostStatus, type ServerStatus} from '../../../ports/view.js';
import {applyUpdate, emptyView, type EntryView} from './apply-update.js';
import {type FeedServer, type FeedUpdate} from './messages.js';

const toHost = (id: string, life: HostStatus['life'] = 'alive'): HostStatus => ({
	id, zone: 'a', life, incarnation: 1, entryAddress: `${id}:1`, agentAddress: `${id}:2`, leaving: false,
});

const toServer = (id: string, change: Partial<FeedServer> = {}): FeedServer => ({
	id, leaving: false, load: undefined, loadAgeMs: 0, reachable: undefined, ...change,
});

/** An update that was sent at a time of the entry's clock. */
const toUpdate = (at: number, change: Partial<FeedUpdate> = {}): FeedUpdate => ({
	echoAt: at, echoAgeMs: 0, whole: false, config: undefined, hosts: [], hostsGone: [], servers: [], serversGone: [], confirmedAgeMs: undefined, incarnationFloor: 0, ...change,
});

const apply = (view: EntryView, ...updates: FeedUpdate[]): EntryView => {
	let next = view;
	for (const update of updates) {
		next = applyUpdate(next, update, {parse: () => ok({} as never), isNewer: () => true});
	}

	return next;
};

const before = apply(emptyView, toUpdate(1000, {
	whole: true, hosts: [toHost('h1'), toHost('h2')], servers: [toServer('d1', {reachable: false, reachableAgeMs: 300}), toServer('d2', {reachable: true, reachableAgeMs: 100})],
}));
const restarted = toUpdate(2000, {whole: true, hosts: [toHost('h1')], servers: [toServer('d1'), toServer('d2')]});

describe('applyUpdate', () => {
	it('keeps hosts that a restarted agent has not heard of yet, until it names them', () => {
		assert.deepEqual([...apply(before, restarted).hosts.keys()].sort(), ['h1', 'h2']);
		const named = apply(before, restarted, toUpdate(2500, {hosts: [toHost('h2', 'dead')]}));
		assert.equal(named.hosts.get('h2')?.life, 'dead');
		assert.equal(apply(named, toUpdate(60_000)).hosts.size, 2, 'a host that was named stays');
	});

	it('removes hosts that a restarted agent does not name for too long, and those that it reports as gone', () => {
		assert.deepEqual([...apply(before, restarted, toUpdate(60_000)).hosts.keys()], ['h1']);
		assert.deepEqual([...apply(before, toUpdate(1100, {hostsGone: ['h2']})).hosts.keys()], ['h1']);
	});

	it('measures that time from the last restart of an agent', () => {
		assert.equal(apply(before, restarted, {...restarted, echoAt: 25_000}, toUpdate(40_000)).hosts.size, 2);
	});

	it('keeps the reachability of a server, with its age, until the agent has polled the server itself', () => {
		const toFound = ({reachable, reachableAt}: ServerStatus) => ({reachable, reachableAt});
		const kept = apply(before, restarted);
		assert.deepEqual(toFound(kept.servers.get('d1')!), {reachable: false, reachableAt: 700});
		assert.deepEqual(toFound(kept.servers.get('d2')!), {reachable: true, reachableAt: 900});
		const found = apply(kept, toUpdate(2500, {servers: [toServer('d1', {reachable: true, reachableAgeMs: 50})]}));
		assert.deepEqual(toFound(found.servers.get('d1')!), {reachable: true, reachableAt: 2450});
	});

	it('removes servers that a first update does not name, since they are no longer in the configuration', () => {
		assert.deepEqual([...apply(before, {...restarted, servers: [toServer('d2')]}).servers.keys()], ['d2']);
	});
});
