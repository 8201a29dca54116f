import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	type Counts, emptyCounts, type SloDocument, type SloSeries, type WindowName, windowNames,
} from '../../_lib/slo/index.js';
import {toBurnPage} from '../to-burn-page/index.js';
import {toBurnTable} from '../to-burn-table/index.js';
import {type AlertLevel, defaultObjectives, toBurnRates} from './index.js';

function toSeries(badOf: Partial<Record<WindowName, [number, number]>>, changes: Partial<SloSeries> = {}): SloSeries {
	const windows = Object.fromEntries(windowNames.map((name): [WindowName, Counts] => {
		const [bad, total] = badOf[name] ?? [0, 0];
		return [name, {
			...emptyCounts, bad, total, failed: bad,
		}];
	})) as Record<WindowName, Counts>;
	return {
		scope: 'class', class: 'quick', name: 'quick', windows, ...changes,
	};
}

const toDocument = (...series: SloSeries[]): SloDocument => ({version: 1, hosts: ['a-1', 'a-2'], series});

describe('toBurnRates', () => {
	it('divides the bad share by the share that the objective allows', () => {
		const [row] = toBurnRates(toDocument(toSeries({'5m': [5, 100], '1h': [20, 100]}))).rows;
		const burns = Object.fromEntries(row!.windows.map(each => [each.window, Number(each.burn.toFixed(6))]));
		assert.deepEqual(burns, {
			'5m': 1, '30m': 0, '1h': 4, '6h': 0, '24h': 0,
		});
		assert.deepEqual(row!.windows.map(each => each.goodShare), [0.95, undefined, 0.8, undefined, undefined]);
		assert.deepEqual(row!.causes, [{cause: 'failed', count: 20}]);
	});

	const alerts: Array<[string, Partial<Record<WindowName, [number, number]>>, AlertLevel]> = [
		['nothing', {}, 'none'],
		['a burn that goes on and matters', {'5m': [30, 99], '1h': [300, 999]}, 'page'],
		['a burn that is over', {'5m': [0, 100], '1h': [300, 900]}, 'none'],
		['a burn that has only begun', {'5m': [50, 100], '1h': [50, 1000]}, 'none'],
		['a slower burn over hours', {'30m': [16, 100], '6h': [160, 1000]}, 'page'],
		['a budget that will not last', {'6h': [51, 1000], '24h': [51, 1000]}, 'ticket'],
		['too few requests to tell', {'5m': [19, 19], '1h': [19, 19]}, 'none'],
	];
	for (const [name, badOf, expected] of alerts) {
		it(`raises ${expected} for ${name}`, () => {
			assert.equal(toBurnRates(toDocument(toSeries(badOf))).rows[0]!.alert, expected);
		});
	}

	it('puts classes first, and in each scope the fastest burning first', () => {
		const {rows} = toBurnRates(toDocument(
			toSeries({}, {scope: 'workspace', name: 'calm'}),
			toSeries({'1h': [9, 10]}, {scope: 'workspace', name: 'burning'}),
			toSeries({'1h': [1, 10]}),
		));
		assert.deepEqual(rows.map(row => row.name), ['quick', 'burning', 'calm']);
	});
});

describe('toBurnTable', () => {
	it('shows burn and numbers, and cuts the many', () => {
		const many = Array.from({length: 30}, (_, i) => toSeries({'1h': [i, 30]}, {scope: 'workspace', name: `w${i}`}));
		const text = toBurnTable(toBurnRates(toDocument(toSeries({'5m': [30, 99], '1h': [300, 999]}), ...many)));
		assert.match(text, /^Burn of 2 hosts: a-1, a-2\n/);
		assert.match(text, /all +quick +95\.0% +6\.1 30\/99 +- +6\.0 300\/999 +- +- +page +failed 300/);
		assert.match(text, /… and 10 more/);
	});

	it('lets no name rewrite the terminal', () => {
		const text = toBurnTable(toBurnRates(toDocument(toSeries({'1h': [1, 2]}, {scope: 'workspace', name: 'a\u001B[2J\n\u202Eb'}))));
		assert.match(text, /workspace a\?\[2J\?\?b /);
	});
});

describe('toBurnPage', () => {
	it('is a page with plots, alerts and tables, and nothing fetched', () => {
		const points = Array.from({length: 60}, (_, i) => ({...emptyCounts, total: i, bad: i % 3}));
		const document = toDocument(toSeries({'5m': [30, 99], '1h': [300, 999]}, {minutes: points, quarters: points}), toSeries({'1h': [1, 2]}, {scope: 'rule', name: 'desk'}));
		const page = toBurnPage(document, toBurnRates(document), {writtenAt: 0});
		assert.equal(page.match(/<svg /g)?.length, 2);
		assert.match(page, /Act now:<\/strong> all \(quick\) burns at 6 or more over 5m and 1h\. broken off 300/);
		assert.match(page, /desk/);
		assert.doesNotMatch(page, /https?:|<script|NaN|undefined/);
	});

	it('turns no name into markup', () => {
		fc.assert(fc.property(fc.string(), name => {
			const hostile = `${name}<img src=x>"'&`;
			const document = toDocument(toSeries({'1h': [1, 2]}, {scope: 'workspace', name: hostile}));
			const page = toBurnPage({...document, hosts: [hostile]}, toBurnRates({...document, hosts: [hostile]}), {writtenAt: 0});
			assert.equal(page.includes('<img'), false);
		}));
	});

	it('draws any counts without a number that is none', () => {
		const counts = fc.record({bad: fc.nat(10), good: fc.nat(10)}).map(({bad, good}) => ({...emptyCounts, total: bad + good, bad}));
		fc.assert(fc.property(fc.array(counts, {maxLength: 100}), points => {
			const document = toDocument(toSeries({}, {minutes: points, quarters: points}));
			assert.doesNotMatch(toBurnPage(document, toBurnRates(document, {...defaultObjectives, quick: 0.5}), {writtenAt: 0}), /NaN|Infinity|undefined/);
		}));
	});
});
