import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toLimitSignal} from './index.js';

describe('toLimitSignal', () => {
	it('takes any time that may be left, also a fraction, none, or less than none', () => {
		fc.assert(fc.property(fc.double({min: -1e6, max: 1e6, noNaN: true}), limitMs => {
			assert.equal(toLimitSignal(limitMs, new AbortController().signal).aborted, false);
		}));
	});

	it('aborts with the other signal', () => {
		const other = new AbortController();
		const signal = toLimitSignal(60_000, other.signal);
		other.abort('gone');
		assert.equal(signal.reason, 'gone');
	});
});
