import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {type SloDocument} from '../../_lib/slo/index.js';
import {createSloLedger} from '../create-slo-ledger/index.js';
import {
	pickSeries, readBack, runSteps, steps, toSample,
} from '../_test/slo-steps.js';
import {addSloDocuments} from './index.js';

function toKeyed(document: SloDocument): Record<string, unknown> {
	const {series} = readBack(document);
	const entries = series.map(each => [`${each.scope} ${each.class} ${each.name}`, each] as const);
	return Object.fromEntries(entries.sort(([left], [right]) => left.localeCompare(right)));
}

describe('addSloDocuments', () => {
	it('adds the documents of two hosts up to the document of one host with all requests', () => {
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

	it('counts a host with two documents once', () => {
		const {document} = runSteps([{sample: toSample(), gapMs: 0}]);
		const sum = addSloDocuments([document, document]);
		assert.deepEqual([sum.hosts, pickSeries(sum, 'class', 'quick')!.windows['1h'].total], [['a-1'], 1]);
	});
});
