import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	addCounts, emptyCounts, type SloDocument, type SloSeries, windowNames,
} from '../../_lib/slo/index.js';
import {msPerHour, msPerMinute} from '../../ports/units.js';
import {addSloDocuments} from '../add-slo-documents/index.js';
import {parseSloDocument} from '../parse-slo-document/index.js';
import {createSloLedger, type SloSample} from './index.js';

const target = {firstTokenMs: 1300, perTokenMs: 61, completeMs: 10_000};

function toSample(changes: Partial<SloSample> = {}): SloSample {
	return {
		class: 'quick', workspace: 'w', rule: 'desk', end: 'complete', firstTokenMs: 100, perTokenMs: 20, completeMs: 1000, target, ...changes,
	};
}

function pickSeries(document: SloDocument, scope: SloSeries['scope'], name: string, serviceClass = 'quick'): SloSeries | undefined {
	return document.series.find(series => series.scope === scope && series.name === name && series.class === serviceClass);
}

type Step = {sample: SloSample; gapMs: number};

const steps = fc.array(fc.record({
	sample: fc.record({
		class: fc.constantFrom('quick' as const, 'batch' as const),
		workspace: fc.constantFrom('a', 'b', 'c', 'd', 'e', '__proto__'),
		rule: fc.constantFrom('r1', 'r2', 'r3'),
		end: fc.constantFrom('complete' as const, 'refused' as const, 'failed' as const, 'gone' as const),
		firstTokenMs: fc.constantFrom(100, 2000, undefined),
	}).map(changes => toSample(changes)),
	gapMs: fc.oneof(fc.nat(1000), fc.nat(20 * msPerMinute), fc.constant(30 * msPerHour)),
}), {maxLength: 60});

function runSteps(given: readonly Step[], options: {topWorkspaces?: number} = {}) {
	const ledger = createSloLedger({host: 'a-1', ...options});
	let now = 0;
	for (const {sample, gapMs} of given) {
		now += gapMs;
		ledger.addSample(sample, now);
	}

	return {now, document: ledger.toDocument(now)};
}

describe('createSloLedger', () => {
	it('counts by class, rule and workspace, with causes', () => {
		const {document} = runSteps([{sample: toSample(), gapMs: 0}, {sample: toSample({end: 'failed', perTokenMs: 90}), gapMs: 0}, {sample: toSample({end: 'gone'}), gapMs: 0}]);
		const expected = {
			...emptyCounts, total: 2, bad: 1, failed: 1, latePerToken: 1,
		};
		for (const [scope, name] of [['class', 'quick'], ['rule', 'desk'], ['workspace', 'w']] as const) {
			assert.deepEqual(pickSeries(document, scope, name)!.windows['5m'], expected, scope);
		}
	});

	for (const [ageMs, inWindows] of [
		[4 * msPerMinute, ['5m', '30m', '1h', '6h', '24h']],
		[6 * msPerMinute, ['30m', '1h', '6h', '24h']],
		[40 * msPerMinute, ['1h', '6h', '24h']],
		[2 * msPerHour, ['6h', '24h']],
		[23 * msPerHour, ['24h']],
		[25 * msPerHour, []],
		[1000 * msPerHour, []],
	] as const) {
		it(`has a request ${ageMs / msPerMinute} minutes old in the windows ${inWindows.join(', ') || 'none'}`, () => {
			const ledger = createSloLedger({host: 'a-1'});
			ledger.addSample(toSample(), 1000);
			const {windows} = pickSeries(ledger.toDocument(1000 + ageMs), 'class', 'quick')!;
			assert.deepEqual(windowNames.filter(name => windows[name].total > 0), inWindows);
		});
	}

	it('keeps all workspaces together equal to the class, whoever has a series', () => {
		fc.assert(fc.property(steps, fc.integer({min: 1, max: 6}), (given, topWorkspaces) => {
			const {document} = runSteps(given, {topWorkspaces});
			assert.equal(new Set(document.series.filter(series => series.scope === 'workspace').map(series => series.name)).size <= topWorkspaces, true);
			for (const serviceClass of ['quick', 'batch']) {
				for (const name of windowNames) {
					let sum = emptyCounts;
					for (const series of document.series) {
						const isPart = series.class === serviceClass && (series.scope === 'workspace' || series.scope === 'other-workspaces');
						sum = isPart ? addCounts(sum, series.windows[name]) : sum;
					}

					assert.deepEqual(sum, pickSeries(document, 'class', serviceClass, serviceClass)!.windows[name]);
				}
			}
		}));
	});

	it('counts no more in a window than in a longer one', () => {
		fc.assert(fc.property(steps, given => {
			for (const {windows} of runSteps(given).document.series) {
				const totals = windowNames.map(name => windows[name].total);
				assert.deepEqual(totals, [...totals].sort((left, right) => left - right));
			}
		}));
	});

	it('gives a series to a small workspace whose requests go wrong', () => {
		const ledger = createSloLedger({host: 'a-1', topWorkspaces: 2});
		for (let i = 0; i < 30; i++) {
			ledger.addSample(toSample({workspace: i % 2 === 0 ? 'large-1' : 'large-2'}), 0);
		}

		ledger.addSample(toSample({workspace: 'small', end: 'failed'}), 0);
		assert.equal(pickSeries(ledger.toDocument(0), 'workspace', 'small')!.windows['5m'].bad, 1);
	});

	it('keeps its memory bounded when names come without end', () => {
		const ledger = createSloLedger({host: 'a-1', topWorkspaces: 3, maxRules: 3});
		for (let i = 0; i < 2000; i++) {
			ledger.addSample(toSample({workspace: `w${i}`, rule: `r${i}`, end: i % 7 === 0 ? 'failed' : 'complete'}), i * 100);
		}

		assert.equal(ledger.toDocument(200_000).series.length, 3 + 3 + 3);
	});
});

/** The document as another process reads it. */
function readBack(document: SloDocument): SloDocument {
	const text = JSON.stringify(document);
	return JSON.parse(text) as SloDocument;
}

/** Series by name, in a fixed order and without fields that are absent. */
function toKeyed(document: SloDocument): Record<string, unknown> {
	const {series} = readBack(document);
	const entries = series.map(each => [`${each.scope} ${each.class} ${each.name}`, each] as const);
	return Object.fromEntries(entries.sort(([left], [right]) => left.localeCompare(right)));
}

describe('addSloDocuments', () => {
	it('adds what hosts counted apart to what one would have counted', () => {
		fc.assert(fc.property(steps, given => {
			const [left, right, both] = ['left', 'right', 'both'].map(host => createSloLedger({host}));
			let now = 0;
			for (const [i, {sample, gapMs}] of given.entries()) {
				now += gapMs;
				both!.addSample(sample, now);
				(i % 2 === 0 ? left : right)!.addSample(sample, now);
			}

			const sum = addSloDocuments([left!.toDocument(now), right!.toDocument(now)]);
			assert.deepEqual(toKeyed(sum), toKeyed(both!.toDocument(now)));
		}));
	});

	it('counts a host that answers twice once', () => {
		const {document} = runSteps([{sample: toSample(), gapMs: 0}]);
		const sum = addSloDocuments([document, document]);
		assert.deepEqual([sum.hosts, pickSeries(sum, 'class', 'quick')!.windows['1h'].total], [['a-1'], 1]);
	});
});

describe('parseSloDocument', () => {
	it('reads back any document that a ledger wrote', () => {
		fc.assert(fc.property(steps, given => {
			const {document} = runSteps(given);
			assert.deepEqual(parseSloDocument(readBack(document))._unsafeUnwrap(), document);
		}), {numRuns: 30});
	});

	for (const [value, message] of [
		[undefined, /the document/],
		[{version: 2, hosts: [], series: []}, /^version/],
		[{version: 1, hosts: [], series: [{scope: 'class'}]}, /^series\.0\.class/],
		[{version: 1, hosts: [1], series: []}, /^hosts\.0/],
	] as const) {
		it(`refuses ${JSON.stringify(value) ?? 'nothing'}`, () => {
			assert.match(parseSloDocument(value)._unsafeUnwrapErr(), message);
		});
	}
});
