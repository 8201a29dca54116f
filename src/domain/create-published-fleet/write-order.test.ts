/** Tests of entries that the platform carries out late, or that another writer numbers. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type PublishedChange} from '../../ports/published.js';
import {createPublishedFleet, type PublishedFleet} from './index.js';

type Written = {sequence?: number; leaving?: boolean; startedAt?: number; port?: number; version?: string};

/** Longest delay with which the platform carries out a write. */
const maxDelayMs = 6000;
const heartbeatMs = 1200;
/** Time for which a host may wait before it reads a change. */
const readLagMs = 1800;

const entry = (name: string, {sequence, leaving = false, startedAt = 0, port = 1, version}: Written = {}): PublishedChange => ({
	kind: 'server', server: {
		name,
		startedAt,
		leaving,
		...(sequence !== undefined && {sequence}),
		entry: {
			id: startedAt === 0 ? name : `${name}@${startedAt}`, name, zone: 'a', url: `http://10.0.0.1:${port}`, role: 'plain', pool: 'desk', slots: 4, checksFence: false, ...(version !== undefined && {softwareVersion: version}),
		},
	},
});
const gone = (name: string): PublishedChange => ({kind: 'server-gone', name});

const createFleet = (): PublishedFleet => createPublishedFleet({zones: [{id: 'a', region: 'r'}]});

const toState = (fleet: PublishedFleet, now: number): string => {
	const [server] = fleet.toView(now).servers.values();
	return server === undefined ? 'gone' : (server.leaving ? 'leaving' : 'serving');
};

/** Applies changes and then decides on what was kept back, as a host does with each read. */
function read(fleet: PublishedFleet, changes: readonly PublishedChange[], now: number): string {
	fleet.apply(changes, now);
	fleet.sweep(now);
	return toState(fleet, now);
}

describe('createPublishedFleet with entries that their servers number', () => {
	// Guards against requests to a draining server whose check-in of before is carried out late.
	it('keeps a leaving server leaving when an entry of before arrives late', () => {
		const fleet = createFleet();
		read(fleet, [entry('s', {sequence: 8})], 0);
		read(fleet, [entry('s', {sequence: 11, leaving: true})], 3000);
		assert.equal(read(fleet, [entry('s', {sequence: 9})], 5000), 'leaving');
		assert.equal(read(fleet, [], 20_000), 'serving', 'what the platform publishes for long is what its server wrote');
	});

	// Guards against requests to a server that has left, whose last check-in is carried out late.
	it('does not bring back a server that is gone', () => {
		const fleet = createFleet();
		read(fleet, [entry('s', {sequence: 12, leaving: true})], 0);
		read(fleet, [gone('s')], 2000);
		assert.equal(read(fleet, [entry('s', {sequence: 11})], 4000), 'gone');
		assert.equal(read(fleet, [gone('s')], 6000), 'gone');
		assert.equal(read(fleet, [], 20_000), 'gone');
	});

	it('brings back a server that writes again after its entry had expired', () => {
		const fleet = createFleet();
		read(fleet, [entry('s', {sequence: 12})], 0);
		read(fleet, [gone('s')], 2000);
		assert.equal(read(fleet, [entry('s', {sequence: 13})], 3000), 'serving');
	});

	it('ignores address and software version of an entry that arrives late', () => {
		const fleet = createFleet();
		const rules = {
			version: 1, rules: [], pools: [], callers: undefined,
		};
		read(fleet, [{kind: 'rules', rules}, entry('s', {sequence: 5, port: 2, version: 'v2'})], 0);
		read(fleet, [entry('s', {sequence: 4, port: 1, version: 'v1'})], 100);
		assert.deepEqual(fleet.toView(100).accepted?.config.servers.map(({url, softwareVersion}) => [url, softwareVersion]), [['http://10.0.0.1:2', 'v2']]);
	});

	it('begins anew with each start of a server', () => {
		const fleet = createFleet();
		read(fleet, [entry('s', {sequence: 500, leaving: true, startedAt: 1000})], 0);
		assert.equal(read(fleet, [entry('s', {sequence: 1, startedAt: 2000})], 100), 'serving');
	});

	it('lists a server that is kept back no more once its entry is removed', () => {
		const fleet = createFleet();
		fleet.replace([entry('s', {sequence: 12, leaving: true})], 0);
		fleet.replace([], 2000);
		fleet.replace([entry('s', {sequence: 11})], 3000);
		fleet.replace([], 4000);
		assert.equal(read(fleet, [], 20_000), 'gone');
	});

	// Guards against a server that is shut out by an entry of another writer, whatever its number.
	it('uses a server again soon after an entry of another writer (property)', () => {
		const foreign = fc.oneof(fc.constantFrom(Number.MAX_SAFE_INTEGER, undefined), fc.maxSafeNat());
		fc.assert(fc.property(foreign, fc.boolean(), fc.integer({min: 1, max: 30}), fc.boolean(), (sequence, leaving, beats, isRemoved) => {
			const fleet = createFleet();
			let now = 0;
			for (let n = 1; n <= beats; n++, now += heartbeatMs) {
				read(fleet, [entry('s', {sequence: n})], now);
			}

			read(fleet, [entry('s', {...(sequence !== undefined && {sequence}), leaving}), ...(isRemoved ? [gone('s')] : [])], now);
			for (let n = beats + 1; n < beats + 12; n++, now += heartbeatMs) {
				read(fleet, [entry('s', {sequence: n})], now + 1);
			}

			assert.equal(toState(fleet, now), 'serving');
		}));
	});

	// Guards against any order in which writes of one server may be carried out.
	it('never uses a server after its leaving was read, in whatever order its writes are carried out (property)', () => {
		const delays = fc.array(fc.oneof(fc.constant(0), fc.integer({min: 1000, max: maxDelayMs})), {minLength: 3, maxLength: 15});
		fc.assert(fc.property(delays, fc.integer({min: 1, max: 12}), fc.integer({min: 0, max: readLagMs}), (delayed, drainsAt, lagMs) => {
			const writes = delayed.map((delayMs, n) => ({at: (n * heartbeatMs) + delayMs, change: entry('s', {sequence: n + 1, leaving: n >= drainsAt}), isLeaving: n >= drainsAt}));
			const leftAt = delayed.length * heartbeatMs;
			const events = [...writes, {at: leftAt, change: gone('s'), isLeaving: false}].toSorted((a, b) => a.at - b.at);
			const fleet = createFleet();
			let hasLeft = false;
			for (const {at, change, isLeaving} of events) {
				const state = read(fleet, [change], at + lagMs);
				hasLeft ||= isLeaving;
				assert.ok(!hasLeft || state !== 'serving', `serving at ${at}`);
			}
		}));
	});
});
