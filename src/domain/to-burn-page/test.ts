import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {emptyCounts} from '../../_lib/slo/index.js';
import {defaultObjectives, toBurnRates} from '../to-burn-rates/index.js';
import {toDocument, toSeries} from '../_test/slo-documents.js';
import {toBurnPage} from './index.js';

describe('toBurnPage', () => {
	it('writes a page with plots, alerts and tables, and without external resources', () => {
		const points = Array.from({length: 60}, (_, i) => ({...emptyCounts, total: i, bad: i % 3}));
		const document = toDocument(toSeries({'5m': [30, 99], '1h': [300, 999]}, {minutes: points, quarters: points}), toSeries({'1h': [1, 2]}, {scope: 'rule', name: 'desk'}));
		const page = toBurnPage(document, toBurnRates(document), {writtenAt: 0});
		assert.equal(page.match(/<svg /g)?.length, 2);
		assert.match(page, /Act now:<\/strong> all \(quick\) burns at 6 or more over 5m and 1h\. broken off 300/);
		assert.match(page, /desk/);
		assert.doesNotMatch(page, /https?:|<script|NaN|undefined/);
	});

	it('escapes names', () => {
		fc.assert(fc.property(fc.string(), name => {
			const hostile = `${name}<img src=x>"'&`;
			const document = toDocument(toSeries({'1h': [1, 2]}, {scope: 'workspace', name: hostile}));
			const page = toBurnPage({...document, hosts: [hostile]}, toBurnRates({...document, hosts: [hostile]}), {writtenAt: 0});
			assert.equal(page.includes('<img'), false);
		}));
	});

	it('draws any counts without NaN or Infinity', () => {
		const counts = fc.record({bad: fc.nat(10), good: fc.nat(10)}).map(({bad, good}) => ({...emptyCounts, total: bad + good, bad}));
		fc.assert(fc.property(fc.array(counts, {maxLength: 100}), points => {
			const document = toDocument(toSeries({}, {minutes: points, quarters: points}));
			assert.doesNotMatch(toBurnPage(document, toBurnRates(document, {...defaultObjectives, quick: 0.5}), {writtenAt: 0}), /NaN|Infinity|undefined/);
		}));
	});
});
