import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createNewPeerWatch} from './create-new-peer-watch.js';

describe('createNewPeerWatch', () => {
	it('tells of a host that is new, has started again, or was silent', () => {
		const isNew = createNewPeerWatch();
		assert.equal(isNew('a', 1, 0), true);
		assert.equal(isNew('a', 1, 3000), false);
		assert.equal(isNew('a', 2, 3100), true);
		assert.equal(isNew('a', 2, 6200), true);
		assert.equal(isNew('b', 2, 6200), true);
	});
});
