import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {parseScopedKey, toScopedKey} from './index.js';

describe('toScopedKey', () => {
	it('is equal exactly when workspace and key are, and can be read back', () => {
		const pair = fc.record({workspace: fc.string({maxLength: 3}), key: fc.constantFrom('0a', '0b')}, {noNullPrototype: true});
		fc.assert(fc.property(pair, pair, (a, b) => {
			assert.equal(toScopedKey(a) === toScopedKey(b), a.workspace === b.workspace && a.key === b.key);
			assert.deepEqual(parseScopedKey(toScopedKey(a)), a);
		}));
	});
});
