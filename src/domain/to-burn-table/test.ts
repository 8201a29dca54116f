import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toBurnRates} from '../to-burn-rates/index.js';
import {toDocument, toSeries} from '../_test/slo-documents.js';
import {toBurnTable} from './index.js';

describe('toBurnTable', () => {
	it('shows burn rates and counts, and limits the number of rows', () => {
		const many = Array.from({length: 30}, (_, i) => toSeries({'1h': [i, 30]}, {scope: 'workspace', name: `w${i}`}));
		const text = toBurnTable(toBurnRates(toDocument(toSeries({'5m': [30, 99], '1h': [300, 999]}), ...many)));
		assert.match(text, /^Burn of 2 hosts: a-1, a-2\n/);
		assert.match(text, /all +quick +95\.0% +6\.1 30\/99 +- +6\.0 300\/999 +- +- +page +failed 300/);
		assert.match(text, /… and 10 more/);
	});

	it('replaces control characters in names', () => {
		const text = toBurnTable(toBurnRates(toDocument(toSeries({'1h': [1, 2]}, {scope: 'workspace', name: 'a\u001B[2J\n\u202Eb'}))));
		assert.match(text, /workspace a\?\[2J\?\?b /);
	});
});
