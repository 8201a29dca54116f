import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {toScopedText} from './index.js';

describe('toScopedText', () => {
	it('is equal exactly when workspace and key are', () => {
		const pair = fc.record({workspace: fc.string({maxLength: 3}), key: fc.constantFrom('0a', '0b')});
		fc.assert(fc.property(pair, pair, (a, b) => {
			assert.equal(toScopedText(a) === toScopedText(b), a.workspace === b.workspace && a.key === b.key);
		}));
	});
});
