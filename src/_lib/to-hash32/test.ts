import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toHash32} from './index.js';

describe('toHash32', () => {
	// All hosts of a fleet must place a key alike, even if they run different releases, so these values must not change.
	for (const [text, hash] of [['', 0xAB_3E_7C_0B], ['a', 0x1A_80_B1_B3], ['host-0-1', 0xBF_D7_2A_92], ['zürich', 0xB1_69_A6_08]] as const) {
		it(`hashes '${text}' like every earlier release`, () => {
			assert.equal(toHash32(text), hash);
		});
	}
});
