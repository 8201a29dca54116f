import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toYamlDocument} from '../_test/documents.js';
import {checkSeal} from './index.js';

// The tests of `sealConfig`, which writes seals, show which changes a seal detects.
describe('checkSeal', () => {
	it('reads the edition of a plain document', () => {
		assert.deepEqual(checkSeal(toYamlDocument())._unsafeUnwrap(), {kind: 'plain', edition: 0, follows: undefined});
		assert.deepEqual(checkSeal(toYamlDocument('', 3))._unsafeUnwrap(), {kind: 'plain', edition: 3, follows: undefined});
	});

	it('refuses a plain document that was cut off', () => {
		const text = toYamlDocument();
		for (let length = 0; length < text.length - 1; length++) {
			assert.equal(checkSeal(text.slice(0, length))._unsafeUnwrapErr().kind, 'incomplete');
		}
	});

	it('refuses a document whose bytes were not valid UTF-8', () => {
		assert.equal(checkSeal(toYamlDocument('\uFFFD'))._unsafeUnwrapErr().kind, 'not-text');
	});
});
