import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilenceWatch} from './create-silence-watch.js';

describe('createSilenceWatch', () => {
	it('tells of a host that was silent, and not of one that is new or has started again', () => {
		const wasSilent = createSilenceWatch();
		assert.equal(wasSilent('a', 1, 0), false);
		assert.equal(wasSilent('a', 1, 3000), false);
		assert.equal(wasSilent('a', 1, 6100), true);
		assert.equal(wasSilent('a', 2, 9200), false);
		assert.equal(wasSilent('a', 2, 12_300), true);
		assert.equal(wasSilent('b', 2, 12_300), false);
	});
});
