import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toDigest} from './index.js';

describe('toDigest', () => {
	it('gives the published SHA-256 of known texts', () => {
		assert.equal(toDigest(''), 'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855');
		assert.equal(toDigest('abc'), 'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad');
	});
});
