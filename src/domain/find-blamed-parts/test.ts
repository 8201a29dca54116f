import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type Crash} from '../create-crash-suspects/index.js';
import {
	findBlamedParts, pickSurplusCrash, toCrashWeight, type SuspectPart,
} from './index.js';

const gapMs = 2000;

/** Crashes of servers, named by their numbers, in time order. */
const toCrashes = (...servers: readonly number[]): Crash[] => servers.map(n => ({server: `s${n}`, at: n * gapMs}));

const toSuspects = (crashes: Readonly<Record<string, readonly Crash[]>>): SuspectPart[] => Object.entries(crashes).map(([part, own]) => ({part, crashes: own}));

const toEnds = (suspects: readonly SuspectPart[]): Crash[] => [...new Map(suspects.flatMap(({crashes}) => crashes).map(crash => [crash.server, crash])).values()];

function toBlamed(crashes: Readonly<Record<string, readonly Crash[]>>, others: readonly Crash[] = []): string[] {
	const suspects = toSuspects(crashes);
	return findBlamedParts(suspects, [...toEnds(suspects), ...others]).map(({parts}) => parts.join('+'));
}

describe('findBlamedParts', () => {
	it('blames the part that was at four crashes, and no part at fewer', () => {
		assert.deepEqual(toBlamed({a: toCrashes(1, 2, 3, 4), b: toCrashes(1, 3)}), ['a']);
		assert.deepEqual(toBlamed({a: toCrashes(1, 2, 3), b: toCrashes(1, 3)}), []);
		assert.deepEqual(findBlamedParts([], []), []);
	});

	/* Guards against refusing requests that ran beside those which end servers. */
	it('counts against a part only what the parts blamed before it do not explain', () => {
		assert.deepEqual(toBlamed({a: toCrashes(1, 2, 3, 4, 5, 6), beside: toCrashes(1, 2, 3, 4)}), ['a']);
		assert.deepEqual(toBlamed({a: toCrashes(1, 2, 3, 4, 5, 6), beside: toCrashes(2, 3, 4, 5, 7)}), ['a']);
	});

	it('blames two parts that each end servers', () => {
		assert.deepEqual(toBlamed({a: toCrashes(1, 3, 5, 7, 9), b: toCrashes(2, 4, 6, 8, 10), shared: toCrashes(1, 2)}).toSorted(), ['a', 'b']);
	});

	it('blames parts together that cannot be told apart, until one crash more than another reason may have caused tells them apart', () => {
		assert.deepEqual(toBlamed({a: toCrashes(1, 2, 3, 4), b: toCrashes(1, 2, 3, 4)}), ['a+b']);
		assert.deepEqual(toBlamed({a: toCrashes(1, 2, 3, 4, 5), b: toCrashes(1, 2, 3, 4)}), ['a+b']);
		assert.deepEqual(toBlamed({a: toCrashes(1, 2, 3, 4, 5, 6), b: toCrashes(1, 2, 3, 4)}), ['a']);
	});

	/* Guards against refusing popular parts because a pool lost its power. */
	it('counts at most two crashes of one moment', () => {
		const joint = Array.from({length: 12}, (_, n) => ({server: `j${n}`, at: 1000 + n}));
		assert.deepEqual(toBlamed({a: joint}), []);
		assert.deepEqual(toBlamed({a: [...joint, ...toCrashes(5, 6)]}), ['a']);
	});

	/* Guards against refusing rare parts where servers end all the time. */
	it('asks for more evidence where servers end without the part', () => {
		const others = Array.from({length: 8}, (_, n) => ({server: `o${n}`, at: n * 1000}));
		assert.deepEqual(toBlamed({a: toCrashes(1, 2, 3, 4)}, others), []);
		assert.deepEqual(toBlamed({a: toCrashes(1, 2, 3, 4, 5, 6)}, others), ['a']);
		const longBefore = others.map(({server, at}) => ({server, at: at - 30_000}));
		assert.deepEqual(toBlamed({a: toCrashes(1, 2, 3, 4)}, longBefore), ['a']);
	});

	it('blames each crash at most once, and only parts at four crashes or one less beside others', () => {
		const crashes = fc.uniqueArray(fc.integer({min: 0, max: 15}), {maxLength: 12}).map(servers => toCrashes(...servers));
		fc.assert(fc.property(fc.dictionary(fc.string({minLength: 1, maxLength: 2}), crashes, {maxKeys: 6}), own => {
			const suspects = toSuspects(own);
			const blamed = findBlamedParts(suspects, toEnds(suspects));
			const servers = blamed.flatMap(group => group.crashes).map(({server}) => server);
			assert.equal(new Set(servers).size, servers.length);
			for (const {parts, crashes: groupCrashes, weight} of blamed) {
				assert.ok(weight >= 4 && parts.length > 0 && weight <= groupCrashes.length);
				assert.ok(parts.every(part => own[part]!.length >= 3));
			}
		}));
	});
});

describe('toCrashWeight', () => {
	it('does not depend on the order of crashes', () => {
		const crashes = [0, 100, 200, 1500, 1600, 9000].map((at, n) => ({server: `s${n}`, at}));
		assert.equal(toCrashWeight(crashes), 5);
		assert.equal(toCrashWeight(crashes.toReversed()), 5);
		assert.equal(toCrashWeight([]), 0);
	});
});

describe('pickSurplusCrash', () => {
	it('picks the last crash of the fullest moment, or else the oldest', () => {
		assert.equal(pickSurplusCrash([0, 5000, 5100, 5200].map(at => ({server: `at ${at}`, at}))), 'at 5200');
		assert.equal(pickSurplusCrash([5000, 0, 5100].map(at => ({server: `at ${at}`, at}))), 'at 0');
	});
});
