import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {addCounts, emptyCounts, windowNames} from '../../_lib/slo/index.js';
import {msPerHour, msPerMinute} from '../../ports/units.js';
import {
	pickSeries, runSteps, steps, toSample,
} from '../_test/slo-steps.js';
import {createSloLedger} from './index.js';

describe('createSloLedger', () => {
	it('counts requests by class, rule and workspace, with causes', () => {
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
		it(`counts a request ${ageMs / msPerMinute} minutes old in the windows ${inWindows.join(', ') || 'none'}`, () => {
			const ledger = createSloLedger({host: 'a-1'});
			ledger.addSample(toSample(), 1000);
			const {windows} = pickSeries(ledger.toDocument(1000 + ageMs), 'class', 'quick')!;
			assert.deepEqual(windowNames.filter(name => windows[name].total > 0), inWindows);
		});
	}

	it('keeps the sum over workspaces equal to the class, whichever workspaces have series', () => {
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

	it('counts no more requests in a window than in a longer one', () => {
		fc.assert(fc.property(steps, given => {
			for (const {windows} of runSteps(given).document.series) {
				const totals = windowNames.map(name => windows[name].total);
				assert.deepEqual(totals, [...totals].sort((left, right) => left - right));
			}
		}));
	});

	it('gives a series to a small workspace with bad requests', () => {
		const ledger = createSloLedger({host: 'a-1', topWorkspaces: 2});
		for (let i = 0; i < 30; i++) {
			ledger.addSample(toSample({workspace: i % 2 === 0 ? 'large-1' : 'large-2'}), 0);
		}

		ledger.addSample(toSample({workspace: 'small', end: 'failed'}), 0);
		assert.equal(pickSeries(ledger.toDocument(0), 'workspace', 'small')!.windows['5m'].bad, 1);
	});

	it('bounds the number of series for an unlimited number of names', () => {
		const ledger = createSloLedger({host: 'a-1', topWorkspaces: 3, maxRules: 3});
		for (let i = 0; i < 2000; i++) {
			ledger.addSample(toSample({workspace: `w${i}`, rule: `r${i}`, end: i % 7 === 0 ? 'failed' : 'complete'}), i * 100);
		}

		assert.equal(ledger.toDocument(200_000).series.length, 3 + 3 + 3);
	});
});
