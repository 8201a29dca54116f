import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isRecord} from './index.js';

describe('isRecord', () => {
	it('accepts objects', () => {
		assert.equal(isRecord({}), true);
	});

	for (const value of [null, undefined, [], 'text', 1]) {
		it(`refuses ${JSON.stringify(value) ?? 'undefined'}`, () => {
			assert.equal(isRecord(value), false);
		});
	}
});
