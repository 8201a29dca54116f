import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type PublishedChange, type PublishedServer} from '../../ports/published.js';
import {createPublishedFleet, type PublishedFleet} from './index.js';

const zones = [{id: 'a', region: 'r'}];

const toServer = (id: string, leaving = false): PublishedServer => ({
	leaving,
	entry: {
		id, zone: 'a', url: `http://10.0.0.1:1/${id}`, role: 'plain', pool: 'desk', slots: 4, checksFence: false,
	},
});

const server = (id: string, leaving = false): PublishedChange => ({kind: 'server', server: toServer(id, leaving)});
const gone = (id: string): PublishedChange => ({kind: 'server-gone', id});
const rules = (version: number): PublishedChange => ({
	kind: 'rules', rules: {
		version, rules: [], pools: [], callers: undefined,
	},
});

const toIds = (fleet: PublishedFleet, now: number): string[] => [...fleet.toView(now).servers.keys()].toSorted((a, b) => a.localeCompare(b));

/** Reads every second up to `until`, as a host does while its platform is well. */
function readUntil(fleet: PublishedFleet, until: number): void {
	for (let at = 0; at <= until; at += 1000) {
		fleet.apply([], at);
	}
}

describe('createPublishedFleet', () => {
	it('has no configuration before rules are published', () => {
		const fleet = createPublishedFleet({zones});
		fleet.replace([server('s1')], 0);
		assert.equal(fleet.toView(0).accepted, undefined);
		fleet.apply([rules(3)], 1);
		assert.equal(fleet.toView(1).accepted?.version.edition, 3);
	});

	it('never goes back to older rules, in whatever order they come', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 50}), {minLength: 1}), versions => {
			const fleet = createPublishedFleet({zones});
			let newest = 0;
			for (const [now, version] of versions.entries()) {
				fleet.apply([rules(version)], now);
				newest = Math.max(newest, version);
				assert.equal(fleet.toView(now).accepted?.version.edition, newest);
			}
		}));
	});

	it('tells a change of servers from a heartbeat', () => {
		const fleet = createPublishedFleet({zones});
		assert.deepEqual(fleet.apply([server('s1')], 0).servers, [{id: 's1', became: 'serving'}]);
		assert.deepEqual(fleet.apply([server('s1')], 1).servers, []);
		assert.deepEqual(fleet.apply([server('s1', true)], 2).servers, [{id: 's1', became: 'leaving'}]);
		assert.deepEqual(fleet.apply([gone('s1'), gone('s1')], 3).servers, [{id: 's1', became: 'gone'}]);
	});

	it('drops what a whole list does not name', () => {
		const fleet = createPublishedFleet({zones});
		fleet.replace([server('s1'), server('s2')], 0);
		fleet.replace([server('s2')], 1000);
		assert.deepEqual(toIds(fleet, 1000), ['s2']);
	});

	it('gives decisions another version with each change of servers', () => {
		const fleet = createPublishedFleet({zones});
		fleet.apply([rules(1), server('s1')], 0);
		const {version} = fleet.toView(0).accepted!;
		fleet.apply([server('s2')], 1);
		assert.notDeepEqual(fleet.toView(1).accepted?.version, version);
	});

	/*
	 * The platform is away for seconds, and entries of living servers lapse, as they
	 * can't be written. Callers would be refused although every server serves: the
	 * list that is read first after the outage lacks them for about two seconds.
	 */
	it('keeps servers that are missing right after an outage, until they stay away', () => {
		const fleet = createPublishedFleet({zones});
		fleet.replace([server('s1'), server('s2'), server('s3', true)], 0);
		readUntil(fleet, 2000);
		fleet.replace([], 7000);
		assert.deepEqual(toIds(fleet, 7000), ['s1', 's2']);
		fleet.apply([server('s1')], 8500);
		assert.deepEqual(fleet.sweep(9000).servers, []);
		assert.deepEqual(fleet.sweep(9600).servers, [{id: 's2', became: 'gone'}]);
		assert.deepEqual(toIds(fleet, 9600), ['s1']);
	});

	it('believes a missing entry at once while the platform answers, also after one failed read', () => {
		const fleet = createPublishedFleet({zones});
		fleet.replace([server('s1'), server('s2')], 0);
		readUntil(fleet, 2000);
		fleet.apply([gone('s1')], 4600);
		assert.deepEqual(toIds(fleet, 4600), ['s2']);
	});

	it('reports what can\'t be read, and keeps what it knew', () => {
		const fleet = createPublishedFleet({zones});
		fleet.apply([rules(1), server('s1')], 0);
		const change = fleet.apply([{kind: 'unreadable', key: 'servers/s1', reason: 'no JSON'}], 1);
		assert.deepEqual(change.unreadable, [{key: 'servers/s1', reason: 'no JSON'}]);
		assert.deepEqual(toIds(fleet, 1), ['s1']);
	});
});
