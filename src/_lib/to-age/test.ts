import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toAge} from './index.js';

describe('toAge', () => {
	it('counts whole milliseconds', () => {
		assert.equal(toAge(100.2, 350), 250);
	});

	it('returns nothing for an event that never happened', () => {
		assert.equal(toAge(undefined, 350), undefined);
		assert.equal(toAge(-Infinity, 350), undefined);
	});
});
