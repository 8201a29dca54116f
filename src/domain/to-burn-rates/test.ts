import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type WindowName} from '../../_lib/slo/index.js';
import {toDocument, toSeries} from '../_test/slo-documents.js';
import {type AlertLevel, toBurnRates} from './index.js';

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
		['a significant burn that is still going on', {'5m': [30, 99], '1h': [300, 999]}, 'page'],
		['a burn that is over', {'5m': [0, 100], '1h': [300, 900]}, 'none'],
		['a burn that has only begun', {'5m': [50, 100], '1h': [50, 1000]}, 'none'],
		['a slower burn over hours', {'30m': [16, 100], '6h': [160, 1000]}, 'page'],
		['a slow burn that would use up the budget', {'6h': [51, 1000], '24h': [51, 1000]}, 'ticket'],
		['too few requests to judge', {'5m': [19, 19], '1h': [19, 19]}, 'none'],
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
