import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toYamlDocument} from '../_test/documents.js';
import {checkSeal} from './index.js';

// What a seal makes visible is shown beside `sealConfig`, which writes it.
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

	it('refuses a document whose bytes were no UTF-8', () => {
		assert.equal(checkSeal(toYamlDocument('\uFFFD'))._unsafeUnwrapErr().kind, 'not-text');
	});
});
