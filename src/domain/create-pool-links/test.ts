import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createRandom} from '../_test/create-random.js';
import {
	simulateLinks, type LinkScenario, type HostSample, type LinkFault,
} from './_test/simulate-links.js';
import {createPoolLinks} from './index.js';

/** Time after the first call in a cut at which that call is overdue in any pool. */
const overdueMs = 1000;
/** Time within which a host must know that its links are lost, once another host has had an answer after that. */
const noticeMs = 1000;
/** Age up to which an answer of another host shows that the pool serves it. */
const recentMs = 1000;
/** Time within which a host must know that its links are back. */
const recoverMs = 1000;

describe('createPoolLinks', () => {
	it('is lost once a call is silent, another host has had an answer since, and no probed server accepts a connection', () => {
		const links = createPoolLinks();
		links.open(0);
		assert.equal(links.isProbeDue(280, 240), false, 'the call is not overdue');
		assert.equal(links.isProbeDue(240, 300), false, 'no other host had an answer after the call was overdue');
		assert.equal(links.isProbeDue(280, 300), true);
		links.noteProbing();
		assert.equal(links.isProbeDue(280, 300), false, 'one probe at a time');
		links.noteProbed(false, 600);
		assert.equal(links.state(), 'lost');
		assert.equal(links.toSilenceMs(600), 600);
	});

	it('is reached if a server answers during the probe', () => {
		const links = createPoolLinks();
		const call = links.open(0);
		links.noteProbing();
		call.answer(400);
		links.noteProbed(false, 600);
		assert.equal(links.state(), 'reached');
		assert.equal(links.answeredAt(), 400);
	});

	it('is reached again with the first connection, and does not count calls from before', () => {
		const links = createPoolLinks();
		links.open(0);
		links.noteProbed(false, 600);
		links.noteProbed(true, 1000);
		assert.equal(links.state(), 'reached');
		assert.equal(links.isProbeDue(Infinity, 5000), false);
	});

	it('waits longer in a pool whose servers take long to answer', () => {
		const links = createPoolLinks();
		for (let i = 0; i < 50; i++) {
			links.open(i * 1000).answer((i * 1000) + 300);
		}

		links.open(60_000);
		assert.equal(links.isProbeDue(Infinity, 60_850), false);
		assert.equal(links.isProbeDue(Infinity, 60_900), true);
	});

	it('counts a call that failed at once, but none that an answer of the pool has followed', () => {
		const links = createPoolLinks();
		links.open(0).fail();
		assert.equal(links.toSilenceMs(100), 100);
		const before = links.open(100);
		links.open(110).answer(120);
		before.fail();
		assert.equal(links.toSilenceMs(2000), 0);
	});

	it('counts silence from the first of several calls', () => {
		const links = createPoolLinks();
		const first = links.open(0);
		const second = links.open(50);
		second.fail();
		first.fail();
		assert.equal(links.toSilenceMs(400), 400);
	});

	it('takes no answer of a call that has ended', () => {
		const links = createPoolLinks();
		const call = links.open(0);
		call.fail();
		call.answer(50);
		assert.equal(links.answeredAt(), -Infinity);
		assert.equal(links.toSilenceMs(100), 100);
	});

	it('probes a lost pool every 400 ms, and one that accepted a connection after a second', () => {
		const links = createPoolLinks();
		links.open(0);
		links.noteProbed(false, 600);
		assert.deepEqual([links.isProbeDue(Infinity, 999), links.isProbeDue(-Infinity, 1000)], [false, true], 'whatever other hosts tell');
		links.noteProbed(true, 1100);
		links.open(1100);
		assert.deepEqual([links.isProbeDue(Infinity, 2099), links.isProbeDue(Infinity, 2100)], [false, true]);
	});

	it('does not count a call that this host ended early', () => {
		const links = createPoolLinks();
		links.open(500).abandon(600);
		assert.equal(links.toSilenceMs(1000), 0);
		links.open(1000).abandon(1400);
		assert.equal(links.toSilenceMs(2000), 1000);
	});
});

const durationMs = 16_000;

const toFault = (hosts: number, servers: number, zones: number): fc.Arbitrary<LinkFault> => fc.tuple(
	fc.integer({min: 2000, max: 10_000}),
	fc.integer({min: 300, max: 5000}),
	fc.oneof(
		fc.record({kind: fc.constant('hosts-cut' as const), hosts: fc.uniqueArray(fc.nat(hosts - 1), {minLength: 1, maxLength: hosts}), isReset: fc.boolean()}),
		fc.record({kind: fc.constant('zone-cut' as const), zone: fc.nat(zones - 1)}),
		fc.record({kind: fc.constant('server-silent' as const), server: fc.nat(servers - 1)}),
		fc.record({kind: fc.constant('server-lost' as const), server: fc.nat(servers - 1)}),
		fc.constant({kind: 'pool-lost' as const}),
	),
).map(([from, lengthMs, what]) => ({...what, from, to: from + (what.kind === 'server-silent' ? Math.min(lengthMs, 1200) : lengthMs)}));

const scenarios: fc.Arbitrary<LinkScenario> = fc.record({
	hosts: fc.integer({min: 2, max: 7}), servers: fc.integer({min: 1, max: 4}), zones: fc.integer({min: 1, max: 3}),
}).chain(({hosts, servers, zones}) => fc.record({
	hosts: fc.constant(hosts),
	servers: fc.constant(servers),
	zones: fc.constant(zones),
	callsPerSecond: fc.constantFrom(2, 5, 20),
	answerMs: fc.constantFrom(10, 40, 150, 300),
	durationMs: fc.constant(durationMs),
	faults: fc.array(toFault(hosts, servers, zones), {minLength: 1, maxLength: 4}),
}));

/** The samples of one host, in order of time. */
const toHostSamples = (samples: readonly HostSample[], host: number): readonly HostSample[] => samples.filter(one => one.host === host);

/** Whether a condition held in each sample of the last `ms` before one of them. */
function heldFor(samples: readonly HostSample[], at: number, ms: number, holds: (sample: HostSample) => boolean): boolean {
	const {now} = samples[at]!;
	for (let i = at; i >= 0 && now - samples[i]!.now <= ms; i--) {
		if (!holds(samples[i]!)) {
			return false;
		}
	}

	return now >= ms;
}

/** Finds the first sample in which a host is lost although it reached servers for long enough. */
const findFalselyLost = (samples: readonly HostSample[]): HostSample | undefined => samples.find((sample, i) => sample.isLost && heldFor(samples, i, recoverMs, ({reachesServers}) => reachesServers));

/** Finds the first sample in which a host is not lost, although it reached nothing for long enough, called, and heard of a host that had answers. */
function findUnnoticed(samples: readonly HostSample[]): HostSample | undefined {
	let firstCallAt: number | undefined;
	let toldAt: number | undefined;
	for (const sample of samples) {
		const {now, hasCalled, reachesServers, othersAnsweredAt, isLost} = sample;
		if (reachesServers || othersAnsweredAt === -Infinity) {
			firstCallAt = undefined;
			toldAt = undefined;
			continue;
		}

		firstCallAt ??= hasCalled ? now : undefined;
		const isTold = firstCallAt !== undefined && othersAnsweredAt >= firstCallAt + overdueMs && now - othersAnsweredAt <= recentMs;
		toldAt = isTold ? toldAt ?? now : undefined;
		if (toldAt !== undefined && !isLost && now - toldAt > noticeMs) {
			return sample;
		}
	}

	return undefined;
}

/*
 * Guards against hosts that go on taking requests without reaching a server, and
 * against sound hosts that hand their requests over: hosts, servers, zones and the
 * pool fail at random and at the same time.
 */
describe('createPoolLinks in a fleet', () => {
	it('finds each host that has lost its links, and no other', () => {
		fc.assert(fc.property(scenarios, fc.integer({min: 1, max: 2_000_000_000}), (scenario, seed) => {
			const samples = simulateLinks(scenario, createRandom(seed));
			for (let host = 0; host < scenario.hosts; host++) {
				const own = toHostSamples(samples, host);
				assert.deepEqual(findFalselyLost(own), undefined, 'lost, though it reaches servers');
				assert.deepEqual(findUnnoticed(own), undefined, 'not lost, though it reaches none');
			}
		}), {numRuns: 150});
	});

	const harmless: ReadonlyArray<{name: string; faults: readonly LinkFault[]}> = [
		{
			name: 'one server is silent for a second', faults: [{
				kind: 'server-silent', server: 0, from: 3000, to: 4200,
			}],
		},
		{
			name: 'one server is lost', faults: [{
				kind: 'server-lost', server: 0, from: 3000, to: 8000,
			}],
		},
		{name: 'the whole pool is lost', faults: [{kind: 'pool-lost', from: 3000, to: 8000}]},
	];
	for (const {name, faults} of harmless) {
		it(`keeps every host while ${name}`, () => {
			for (let seed = 1; seed <= 20; seed++) {
				const samples = simulateLinks({
					hosts: 6, servers: 3, zones: 3, callsPerSecond: 5, answerMs: 40, durationMs, faults,
				}, createRandom(seed));
				assert.deepEqual(samples.find(({isLost}) => isLost), undefined, `seed ${seed}`);
			}
		});
	}
});
