import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type PublishedChange, type PublishedServer} from '../../ports/published.js';
import {createPublishedFleet, type PublishedFleet} from './index.js';

const zones = [{id: 'a', region: 'r'}];

const toServer = (name: string, leaving = false, startedAt = 0): PublishedServer => ({
	name,
	startedAt,
	leaving,
	entry: {
		id: startedAt === 0 ? name : `${name}@${startedAt}`, name, zone: 'a', url: `http://10.0.0.1:1/${name}`, role: 'plain', pool: 'desk', slots: 4, checksFence: false,
	},
});

const server = (name: string, leaving = false, startedAt = 0): PublishedChange => ({kind: 'server', server: toServer(name, leaving, startedAt)});
const gone = (name: string): PublishedChange => ({kind: 'server-gone', name});
const unreadable = (name: string, reason = 'no JSON'): PublishedChange => ({kind: 'unreadable-server', name, reason});
const rules = (version: number): PublishedChange => ({
	kind: 'rules', rules: {
		version, rules: [], pools: [], callers: undefined,
	},
});

const toIds = (fleet: PublishedFleet, now: number): string[] => [...fleet.toView(now).servers.keys()].toSorted((a, b) => a.localeCompare(b));

/** Reads every second up to `until`, as a host does while its platform answers. */
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

	it('reports a change of servers, and no change for a heartbeat', () => {
		const fleet = createPublishedFleet({zones});
		assert.deepEqual(fleet.apply([server('s1')], 0).servers, [{id: 's1', became: 'serving'}]);
		assert.deepEqual(fleet.apply([server('s1')], 1).servers, []);
		assert.deepEqual(fleet.apply([server('s1', true)], 2).servers, [{id: 's1', became: 'leaving'}]);
		assert.deepEqual(fleet.apply([gone('s1'), gone('s1')], 3).servers, [{id: 's1', became: 'gone'}]);
	});

	it('drops servers that a full list does not contain', () => {
		const fleet = createPublishedFleet({zones});
		fleet.replace([server('s1'), server('s2')], 0);
		fleet.replace([server('s2')], 1000);
		assert.deepEqual(toIds(fleet, 1000), ['s2']);
	});

	it('changes the version of the view with each change of servers', () => {
		const fleet = createPublishedFleet({zones});
		fleet.apply([rules(1), server('s1')], 0);
		const {version} = fleet.toView(0).accepted!;
		fleet.apply([server('s2')], 1);
		assert.notDeepEqual(fleet.toView(1).accepted?.version, version);
	});

	/*
	 * The platform is down for seconds, and entries of live servers expire, as they
	 * can't be written. Requests would be refused although every server serves: the
	 * lists read in the first two seconds after the outage lack those servers.
	 */
	it('keeps servers that are missing right after an outage, and drops those still missing after the grace period', () => {
		const fleet = createPublishedFleet({zones});
		fleet.replace([server('s1'), server('s2'), server('s3', true)], 0);
		readUntil(fleet, 2000);
		assert.deepEqual(fleet.replace([], 7000, {failedAttemptAt: 6800}).servers, [{id: 's1', became: 'missing'}, {id: 's2', became: 'missing'}, {id: 's3', became: 'gone'}]);
		assert.deepEqual(fleet.replace([], 7100).servers, [], 'reported twice');
		assert.deepEqual(toIds(fleet, 7000), ['s1', 's2']);
		fleet.apply([server('s1')], 8500);
		assert.deepEqual(fleet.sweep(9000).servers, []);
		assert.deepEqual(fleet.sweep(9600).servers, [{id: 's2', became: 'gone'}]);
		assert.deepEqual(toIds(fleet, 9600), ['s1']);
		assert.equal(fleet.missingUntil(), undefined);
	});

	it('keeps missing servers no longer than 2.8 s from the last failed attempt, after which the platform may have been back', () => {
		const fleet = createPublishedFleet({zones});
		fleet.replace([server('s1')], 0);
		fleet.replace([], 7000, {failedAttemptAt: 6000});
		assert.equal(fleet.missingUntil(), 8800);
		assert.deepEqual(fleet.sweep(8799).servers, []);
		assert.deepEqual(fleet.sweep(8800).servers, [{id: 's1', became: 'gone'}]);
	});

	/*
	 * The process is paused for seconds, or its one connection goes silent, and a
	 * server leaves meanwhile. Servers went on writing to the platform, so no entry
	 * expired; kept as missing, the server would get requests that break when it ends.
	 */
	it('drops a server with a missing entry at once after a silence in which no attempt failed', () => {
		const fleet = createPublishedFleet({zones});
		fleet.replace([server('s1'), server('s2')], 0);
		assert.deepEqual(fleet.apply([gone('s1')], 7000).servers, [{id: 's1', became: 'gone'}]);
	});

	it('drops a server with a missing entry at once while the platform answers, also after one failed read', () => {
		const fleet = createPublishedFleet({zones});
		fleet.replace([server('s1'), server('s2')], 0);
		readUntil(fleet, 2000);
		fleet.apply([gone('s1')], 4600);
		assert.deepEqual(toIds(fleet, 4600), ['s2']);
	});

	/*
	 * A server crashes and restarts under its name, with its work and counts lost. A late
	 * heartbeat of its former start may arrive after the first one of the new start.
	 */
	it('treats a restarted server as another one, and never goes back to its former start', () => {
		const fleet = createPublishedFleet({zones});
		fleet.apply([server('s1', true, 1000)], 0);
		assert.deepEqual(fleet.apply([server('s1', false, 2000)], 1).servers, [{id: 's1@1000', became: 'gone'}, {id: 's1@2000', became: 'serving'}]);
		assert.deepEqual(fleet.apply([server('s1', true, 1000)], 2).servers, []);
		assert.deepEqual(toIds(fleet, 2), ['s1@2000']);
		assert.deepEqual(fleet.apply([gone('s1')], 3).servers, [{id: 's1@2000', became: 'gone'}]);
	});

	/*
	 * Another program overwrites a server's entry. A host that kept the old entry would
	 * send to a server whose state is unknown; a host that dropped the rest of the list
	 * too would have no servers.
	 */
	it('drops a server whose entry can\'t be read, keeps the others, and reports it once', () => {
		const fleet = createPublishedFleet({zones});
		fleet.apply([rules(1), server('s1'), server('s2')], 0);
		const change = fleet.apply([unreadable('s1')], 1);
		assert.deepEqual(change.unreadable, [{what: 'server', name: 's1', reason: 'no JSON'}]);
		assert.deepEqual(change.servers, [{id: 's1', became: 'gone'}]);
		assert.deepEqual(toIds(fleet, 1), ['s2']);
		assert.deepEqual(fleet.apply([unreadable('s1')], 2), {rules: undefined, servers: [], unreadable: []});
		assert.deepEqual(fleet.apply([server('s1')], 3).servers, [{id: 's1', became: 'serving'}]);
		assert.equal(fleet.apply([unreadable('s1')], 4).unreadable.length, 1);
	});

	it('keeps the current rules when new ones can\'t be read', () => {
		const fleet = createPublishedFleet({zones});
		fleet.apply([rules(1)], 0);
		const change = fleet.apply([{kind: 'unreadable-rules', reason: 'no JSON'}], 1);
		assert.equal(change.unreadable[0]?.what, 'rules');
		assert.equal(fleet.toView(1).accepted?.version.edition, 1);
	});

	it('has the same servers after a full list as after the changes that led to it (property)', () => {
		const names = fc.constantFrom('s1', 's2', 's3');
		const changes = fc.array(fc.oneof(
			fc.tuple(names, fc.boolean(), fc.integer({min: 1, max: 3})).map(([name, leaving, startedAt]) => server(name, leaving, startedAt)),
			names.map(name => unreadable(name)),
			names.map(name => gone(name)),
		));
		fc.assert(fc.property(changes, all => {
			const watched = createPublishedFleet({zones});
			const last = new Map<string, PublishedChange>();
			for (const change of all) {
				watched.apply([change], 0);
				const name = change.kind === 'server' ? change.server.name : (change as {name: string}).name;
				const known = last.get(name);
				const isLate = change.kind === 'server' && known?.kind === 'server' && change.server.startedAt < known.server.startedAt;
				last.set(name, isLate ? known : change);
			}

			const listed = createPublishedFleet({zones});
			listed.replace([...last.values()].filter(({kind}) => kind !== 'server-gone'), 0);
			assert.deepEqual(toIds(watched, 0), toIds(listed, 0));
		}));
	});

	/* Guards against requests to a server that announced that it leaves, when an older entry of the platform arrives late. */
	it('never overrides a server\'s own notice that it leaves, whatever is published of that start (property)', () => {
		const names = fc.constantFrom('s1', 's2');
		const starts = fc.constantFrom(0, 1, 2);
		const step = fc.oneof(
			fc.record({
				kind: fc.constant('published' as const), name: names, startedAt: starts, leaving: fc.boolean(),
			}),
			fc.record({kind: fc.constant('gone' as const), name: names}),
			fc.record({kind: fc.constant('list' as const), names: fc.subarray(['s1', 's2'])}),
			fc.record({kind: fc.constant('word' as const), name: names, startedAt: starts}),
		);
		fc.assert(fc.property(fc.array(step, {maxLength: 30}), steps => {
			const fleet = createPublishedFleet({zones});
			const left = new Set<string>();
			for (const [i, one] of steps.entries()) {
				const now = i * 700;
				switch (one.kind) {
					case 'published': {
						fleet.apply([server(one.name, one.leaving, one.startedAt)], now, {failedAttemptAt: now - 10});
						break;
					}

					case 'gone': {
						fleet.apply([gone(one.name)], now);
						break;
					}

					case 'list': {
						fleet.replace(one.names.map(name => server(name)), now);
						break;
					}

					case 'word': {
						const {id} = toServer(one.name, false, one.startedAt).entry;
						left.add(id);
						fleet.noteLeaving(id);
						break;
					}
				}

				for (const {id, leaving} of fleet.toView(now).servers.values()) {
					assert.ok(leaving || !left.has(id), `${id} after step ${i}`);
				}
			}
		}));
	});

	it('uses the next start of a server that announced that it leaves', () => {
		const fleet = createPublishedFleet({zones});
		fleet.apply([server('s1', false, 1)], 0);
		assert.deepEqual(fleet.noteLeaving('s1@1').servers, [{id: 's1@1', became: 'leaving'}]);
		assert.deepEqual(fleet.noteLeaving('s1@1').servers, [], 'reported twice');
		fleet.apply([server('s1', false, 2)], 1);
		assert.equal(fleet.toView(1).servers.get('s1@2')?.leaving, false);
	});

	/* Guards against requests to a server that wrote that it leaves after the platform was restored, and before this host read the restored list. */
	it('applies from a restored copy that a known server leaves, and nothing else of a known start', () => {
		const fleet = createPublishedFleet({zones});
		fleet.replace([server('s1'), server('s2', true), server('s3')], 0);
		fleet.noteReset({latestActAt: 2800}, 100);
		assert.equal(fleet.fullReadAt(), 2600);
		assert.equal(fleet.countDifferences([server('s1', true), server('s2')]), 3);
		const {servers} = fleet.replace([server('s1', true), server('s2')], 200);
		assert.deepEqual(servers, [{id: 's1', became: 'leaving'}, {id: 's3', became: 'missing'}]);
		assert.equal(fleet.toView(200).servers.get('s2')?.leaving, true);
		fleet.replace([server('s1', true), server('s2')], 2700);
		assert.equal(fleet.fullReadAt(), undefined);
		assert.equal(fleet.toView(2700).servers.get('s2')?.leaving, false);
		assert.deepEqual(toIds(fleet, 2700), ['s1', 's2']);
	});

	/* Guards against requests to a server that left and writes its entry again as ready before it writes it as leaving. */
	it('ignores entries that list a left or gone start as serving, until all entries are written again', () => {
		const fleet = createPublishedFleet({zones});
		fleet.replace([server('s1', true), server('s2'), server('s3')], 0);
		fleet.apply([gone('s2')], 50);
		fleet.noteReset({latestActAt: 2800}, 100);
		fleet.replace([server('s1'), server('s2'), server('s3')], 150);
		fleet.apply([server('s1'), server('s2'), server('s3', true)], 200);
		const leaving = [...fleet.toView(200).servers.values()].filter(status => status.leaving).map(({id}) => id);
		assert.deepEqual(leaving, ['s1', 's3']);
		assert.deepEqual(toIds(fleet, 200), ['s1', 's3']);
		fleet.replace([server('s1'), server('s2'), server('s3', true)], 2700);
		assert.deepEqual(toIds(fleet, 2700), ['s1', 's2', 's3']);
		assert.equal(fleet.toView(2700).servers.get('s1')?.leaving, false);
	});
});
